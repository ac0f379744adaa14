#include "edge/sum_change.h"

#include <string.h>

static uint64_t
cell_key(uint32_t region, uint32_t server)
{
    return (uint64_t)region << 32 | server;
}

static guint
hash_key(gconstpointer key)
{
    uint64_t value = *(const uint64_t *)key;

    return (guint)(value ^ (value >> 32));
}

static gboolean
equal_keys(gconstpointer a, gconstpointer b)
{
    return *(const uint64_t *)a == *(const uint64_t *)b;
}

/* Returns the index of a region in a list of names, appending it if absent. */
static uint32_t
region_index(GPtrArray *regions, const char *region)
{
    for (guint i = 0; i < regions->len; i++) {
        if (strcmp(regions->pdata[i], region) == 0) {
            return i;
        }
    }
    g_ptr_array_add(regions, g_strdup(region));
    return regions->len - 1;
}

/* ---- Sender -------------------------------------------------------------- */

typedef struct {
    uint64_t key; /* region index, server hash */
    uint32_t count;
    uint32_t changed; /* sequence number of the last change */
    uint32_t updated; /* last update whose sum contained the cell */
} Cell;

struct GwSumSource_s {
    uint32_t epoch;
    uint32_t seq;
    uint32_t updates;
    GPtrArray *regions; /* names */
    GPtrArray *cells;   /* Cell, by number */
    GHashTable *by_key; /* cell key -> cell number */
};

GwSumSource *
GwSumSource_Create(uint32_t epoch)
{
    GwSumSource *source = g_new0(GwSumSource, 1);

    source->epoch = MAX(epoch, 1);
    source->regions = g_ptr_array_new_with_free_func(g_free);
    source->cells = g_ptr_array_new_with_free_func(g_free);
    source->by_key = g_hash_table_new(hash_key, equal_keys);
    return source;
}

void
GwSumSource_Free(GwSumSource *source)
{
    if (source != NULL) {
        g_hash_table_destroy(source->by_key);
        g_ptr_array_free(source->cells, TRUE);
        g_ptr_array_free(source->regions, TRUE);
        g_free(source);
    }
}

static void
renumber(GwSumSource *source)
{
    g_hash_table_remove_all(source->by_key);
    g_ptr_array_set_size(source->cells, 0);
    source->epoch = source->epoch + 1 != 0 ? source->epoch + 1 : 1;
    source->seq = 0;
}

static Cell *
find_or_add_cell(GwSumSource *source, uint32_t region, uint32_t server)
{
    uint64_t key = cell_key(region, server);
    gpointer number;

    if (g_hash_table_lookup_extended(source->by_key, &key, NULL, &number)) {
        return source->cells->pdata[GPOINTER_TO_UINT(number)];
    }
    Cell *cell = g_new0(Cell, 1);
    cell->key = key;
    g_hash_table_insert(source->by_key, &cell->key,
                        GUINT_TO_POINTER(source->cells->len));
    g_ptr_array_add(source->cells, cell);
    return cell;
}

/* Returns whether the count changed. */
static bool
set_count(Cell *cell, uint32_t count, uint32_t seq)
{
    if (cell->count == count) {
        return false;
    }
    cell->count = count;
    cell->changed = seq;
    return true;
}

static bool
apply_sum(GwSumSource *source, const GwLoadSum *sum, uint32_t seq)
{
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
    bool changed = false;

    for (uint32_t i = 0; i < GwLoadSum_RegionCount(sum); i++) {
        uint32_t region =
            region_index(source->regions, GwLoadSum_Region(sum, i));
        g_array_set_size(loads, 0);
        GwLoadSum_Loads(sum, i, loads);
        for (guint k = 0; k < loads->len; k++) {
            const GwPeerLoad *load = &g_array_index(loads, GwPeerLoad, k);
            Cell *cell = find_or_add_cell(source, region, load->server);
            cell->updated = source->updates;
            changed |= set_count(cell, load->in_flight, seq);
        }
    }
    g_array_free(loads, TRUE);
    return changed;
}

void
GwSumSource_Update(GwSumSource *source, const GwLoadSum *sum)
{
    if (source->cells->len > GW_SUM_CELLS_MAX) {
        renumber(source);
    }
    uint32_t seq = source->seq + 1;
    source->updates++;
    bool changed = apply_sum(source, sum, seq);
    for (guint i = 0; i < source->cells->len; i++) {
        Cell *cell = source->cells->pdata[i];
        if (cell->updated != source->updates) {
            changed |= set_count(cell, 0, seq);
        }
    }
    if (changed) {
        source->seq = seq;
    }
}

struct GwSumMessage_s {
    Gw__Peer__SumChange change;
    GArray *servers;
    GArray *server_regions;
    GArray *gaps;
    GArray *counts;
    GArray *own_gaps;
    GArray *own_counts;
};

GwSumMessage *
GwSumMessage_Create(void)
{
    GwSumMessage *message = g_new0(GwSumMessage, 1);
    GArray **const arrays[] = {&message->servers,  &message->server_regions,
                               &message->gaps,     &message->counts,
                               &message->own_gaps, &message->own_counts};

    for (size_t i = 0; i < G_N_ELEMENTS(arrays); i++) {
        *arrays[i] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    }
    return message;
}

void
GwSumMessage_Free(GwSumMessage *message)
{
    if (message != NULL) {
        g_array_free(message->servers, TRUE);
        g_array_free(message->server_regions, TRUE);
        g_array_free(message->gaps, TRUE);
        g_array_free(message->counts, TRUE);
        g_array_free(message->own_gaps, TRUE);
        g_array_free(message->own_counts, TRUE);
        g_free(message);
    }
}

static void
append(GArray *array, uint32_t value)
{
    g_array_append_val(array, value);
}

/* Points a field of the message at an array. */
static void
set_field(GArray *array, uint32_t **values, size_t *count)
{
    *values = (uint32_t *)(void *)array->data;
    *count = array->len;
}

/* Writes the names of cells that the receiver does not know, up to
 * GW_SUM_NAMED_MAX; returns how many cells it knows after that. */
static uint32_t
write_names(const GwSumSource *source, uint32_t known, GwSumMessage *message)
{
    uint32_t end = MIN(source->cells->len, known + GW_SUM_NAMED_MAX);

    for (uint32_t i = known; i < end; i++) {
        const Cell *cell = source->cells->pdata[i];
        append(message->servers, (uint32_t)cell->key);
        append(message->server_regions, (uint32_t)(cell->key >> 32));
    }
    if (end > known) {
        message->change.regions = (char **)source->regions->pdata;
        message->change.n_regions = source->regions->len;
    }
    return end;
}

static void
write_counts(const GwSumSource *source, uint32_t base, uint32_t known,
             uint32_t end, GwSumMessage *message)
{
    uint32_t next = 0;

    for (uint32_t i = 0; i < end; i++) {
        const Cell *cell = source->cells->pdata[i];
        if (cell->changed > base || (i >= known && cell->count > 0)) {
            append(message->gaps, i - next);
            append(message->counts, cell->count);
            next = i + 1;
        }
    }
}

typedef struct {
    uint32_t number;
    uint32_t count;
} OwnCount;

static gint
compare_numbers(gconstpointer a, gconstpointer b)
{
    uint32_t pa = ((const OwnCount *)a)->number;
    uint32_t pb = ((const OwnCount *)b)->number;

    return (pa > pb) - (pa < pb);
}

static GArray *
find_own(const GwSumSource *source, const char *region, const GArray *mine,
         uint32_t end)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(OwnCount));
    uint32_t at = region_index(source->regions, region);

    for (guint i = 0; i < mine->len; i++) {
        const GwPeerLoad *load = &g_array_index(mine, GwPeerLoad, i);
        uint64_t key = cell_key(at, load->server);
        gpointer number;
        if (g_hash_table_lookup_extended(source->by_key, &key, NULL,
                                         &number) &&
            GPOINTER_TO_UINT(number) < end) {
            OwnCount own = {GPOINTER_TO_UINT(number), load->in_flight};
            g_array_append_val(out, own);
        }
    }
    g_array_sort(out, compare_numbers);
    return out;
}

static void
write_own(const GwSumSource *source, const char *region, const GArray *mine,
          uint32_t end, GwSumMessage *message)
{
    GArray *numbers = find_own(source, region, mine, end);
    uint32_t next = 0;

    for (guint i = 0; i < numbers->len; i++) {
        const OwnCount *own = &g_array_index(numbers, OwnCount, i);
        if (own->number < next) {
            continue; /* duplicate */
        }
        append(message->own_gaps, own->number - next);
        append(message->own_counts, own->count);
        next = own->number + 1;
    }
    g_array_free(numbers, TRUE);
}

static void
clear_message(GwSumMessage *message)
{
    gw__peer__sum_change__init(&message->change);
    g_array_set_size(message->servers, 0);
    g_array_set_size(message->server_regions, 0);
    g_array_set_size(message->gaps, 0);
    g_array_set_size(message->counts, 0);
    g_array_set_size(message->own_gaps, 0);
    g_array_set_size(message->own_counts, 0);
}

Gw__Peer__SumChange *
GwSumSource_WriteChange(const GwSumSource *source, const GwSumAck *ack,
                        const char *region, const GArray *mine,
                        GwSumMessage *message)
{
    Gw__Peer__SumChange *change = &message->change;
    bool known = ack->epoch == source->epoch && ack->seq <= source->seq &&
                 ack->cells <= source->cells->len;
    uint32_t base = known ? ack->seq : 0;
    uint32_t cells = known ? ack->cells : 0;

    clear_message(message);
    change->epoch = source->epoch;
    change->since = base;
    change->seq = source->seq;
    change->first_named = cells;
    uint32_t end = write_names(source, cells, message);
    write_counts(source, base, cells, end, message);
    if (mine != NULL) {
        write_own(source, region, mine, end, message);
    }
    set_field(message->servers, &change->servers, &change->n_servers);
    set_field(message->server_regions, &change->server_regions,
              &change->n_server_regions);
    set_field(message->gaps, &change->gaps, &change->n_gaps);
    set_field(message->counts, &change->counts, &change->n_counts);
    set_field(message->own_gaps, &change->own_gaps, &change->n_own_gaps);
    set_field(message->own_counts, &change->own_counts, &change->n_own_counts);
    return change;
}

/* ---- Receiver ------------------------------------------------------------ */

typedef struct {
    uint32_t region; /* index into the region names */
    uint32_t server;
    uint32_t total;
    uint32_t own; /* the receiver's own part of the total */
    uint32_t set; /* value last passed to the callback */
} CopyCell;

struct GwSumCopy_s {
    GwSumAck ack;
    GPtrArray *regions; /* names */
    GArray *cells;      /* CopyCell, by number */
    GArray *own;        /* numbers of cells whose `own` is not zero */
    GwSumCallback set;
    void *ctx;
};

GwSumCopy *
GwSumCopy_Create(GwSumCallback set, void *ctx)
{
    GwSumCopy *copy = g_new0(GwSumCopy, 1);

    copy->regions = g_ptr_array_new_with_free_func(g_free);
    copy->cells = g_array_new(FALSE, FALSE, sizeof(CopyCell));
    copy->own = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    copy->set = set;
    copy->ctx = ctx;
    return copy;
}

void
GwSumCopy_Free(GwSumCopy *copy)
{
    if (copy != NULL) {
        g_ptr_array_free(copy->regions, TRUE);
        g_array_free(copy->cells, TRUE);
        g_array_free(copy->own, TRUE);
        g_free(copy);
    }
}

GwSumAck
GwSumCopy_Ack(const GwSumCopy *copy)
{
    return copy->ack;
}

/* Passes the cell's count to the callback if the count has changed. */
static void
publish(GwSumCopy *copy, uint32_t number)
{
    CopyCell *cell = &g_array_index(copy->cells, CopyCell, number);
    uint32_t count = cell->total > cell->own ? cell->total - cell->own : 0;

    if (count != cell->set) {
        cell->set = count;
        copy->set(copy->ctx, copy->regions->pdata[cell->region], cell->server,
                  count);
    }
}

static void
reset_copy(GwSumCopy *copy)
{
    for (uint32_t i = 0; i < copy->cells->len; i++) {
        CopyCell *cell = &g_array_index(copy->cells, CopyCell, i);
        cell->total = 0;
        publish(copy, i);
    }
    g_array_set_size(copy->cells, 0);
    g_array_set_size(copy->own, 0);
    g_ptr_array_set_size(copy->regions, 0);
}

/* Whether the cell numbers encoded by `gaps` are all below `end`. Each gap is
 * the count of numbers skipped before the next number. */
static bool
numbers_are_below(const uint32_t *gaps, size_t count, uint32_t end)
{
    uint64_t next = 0;

    for (size_t i = 0; i < count; i++) {
        next += (uint64_t)gaps[i] + 1;
        if (next > end) {
            return false;
        }
    }
    return true;
}

/* Whether the change contains all cells. */
static bool
is_whole(const Gw__Peer__SumChange *change)
{
    return change->since == 0 && change->first_named == 0;
}

/* Whether the copy has the state that the change builds on, and nothing
 * later. */
static bool
has_base(const GwSumCopy *copy, const Gw__Peer__SumChange *change)
{
    if (change->epoch != copy->ack.epoch) {
        return is_whole(change);
    }
#if GW_MUTANT == 79 /* breaks: lost changes go unnoticed */
    return change->first_named <= copy->cells->len;
#endif
    return change->since <= copy->ack.seq && change->seq >= copy->ack.seq &&
           change->first_named <= copy->cells->len;
}

/* Whether the change is well-formed and builds on the current state. */
static bool
can_apply(const GwSumCopy *copy, const Gw__Peer__SumChange *change)
{
    bool same = change->epoch == copy->ack.epoch;
    uint64_t end = (uint64_t)change->first_named + change->n_servers;

    if (change->epoch == 0 || end > GW_SUM_CELLS_MAX + GW_SUM_NAMED_MAX ||
        change->n_servers != change->n_server_regions ||
        change->n_gaps != change->n_counts ||
        change->n_own_gaps != change->n_own_counts) {
        return false;
    }
    if (!has_base(copy, change)) {
        return false;
    }
    for (size_t i = 0; i < change->n_servers; i++) {
        if (change->server_regions[i] >= change->n_regions) {
            return false;
        }
    }
    uint32_t cells = (uint32_t)MAX(end, same ? copy->cells->len : 0);
    return numbers_are_below(change->gaps, change->n_gaps, cells) &&
           numbers_are_below(change->own_gaps, change->n_own_gaps, cells);
}

static void
apply_names(GwSumCopy *copy, const Gw__Peer__SumChange *change)
{
    uint32_t known = copy->cells->len - change->first_named;

    for (size_t i = known; i < change->n_servers; i++) {
        const char *region = change->regions[change->server_regions[i]];
        CopyCell cell = {.region = region_index(copy->regions, region),
                         .server = change->servers[i]};
        g_array_append_val(copy->cells, cell);
    }
}

static void
apply_counts(GwSumCopy *copy, const Gw__Peer__SumChange *change)
{
    uint32_t next = 0;

    for (size_t i = 0; i < change->n_gaps; i++) {
        uint32_t number = next + change->gaps[i];
        g_array_index(copy->cells, CopyCell, number).total = change->counts[i];
        next = number + 1;
    }
}

static void
apply_own(GwSumCopy *copy, const Gw__Peer__SumChange *change, GArray *previous)
{
    uint32_t next = 0;

    g_array_set_size(previous, 0);
    g_array_append_vals(previous, copy->own->data, copy->own->len);
    for (guint i = 0; i < previous->len; i++) {
        uint32_t number = g_array_index(previous, uint32_t, i);
        g_array_index(copy->cells, CopyCell, number).own = 0;
    }
    g_array_set_size(copy->own, 0);
    for (size_t i = 0; i < change->n_own_gaps; i++) {
        uint32_t number = next + change->own_gaps[i];
        g_array_index(copy->cells, CopyCell, number).own =
            change->own_counts[i];
        g_array_append_val(copy->own, number);
        next = number + 1;
    }
}

static void
publish_all(GwSumCopy *copy, const GArray *numbers)
{
    for (guint i = 0; i < numbers->len; i++) {
        publish(copy, g_array_index(numbers, uint32_t, i));
    }
}

static void
publish_changed(GwSumCopy *copy, const Gw__Peer__SumChange *change)
{
    uint32_t next = 0;

    for (size_t i = 0; i < change->n_gaps; i++) {
        uint32_t number = next + change->gaps[i];
        publish(copy, number);
        next = number + 1;
    }
}

bool
GwSumCopy_Apply(GwSumCopy *copy, const Gw__Peer__SumChange *change)
{
    if (!can_apply(copy, change)) {
        return false;
    }
    if (change->epoch != copy->ack.epoch) {
        reset_copy(copy);
    }
    GArray *previous = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    apply_names(copy, change);
    apply_counts(copy, change);
    apply_own(copy, change, previous);
    publish_changed(copy, change);
    publish_all(copy, previous);
    publish_all(copy, copy->own);
    g_array_free(previous, TRUE);
    copy->ack = (GwSumAck){
        .epoch = change->epoch, .seq = change->seq, .cells = copy->cells->len};
    return true;
}

void
GwSumCopy_Loads(const GwSumCopy *copy, GArray *out)
{
    for (guint i = 0; i < copy->cells->len; i++) {
        const CopyCell *cell = &g_array_index(copy->cells, CopyCell, i);
        if (cell->set > 0) {
            GwPeerLoad load = {cell->server, cell->set};
            g_array_append_val(out, load);
        }
    }
}
