#include "admin/explain_internal.h"

#include "common/json.h"
#include "common/log_events.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Above this age the server list of an entry is reported as stale: longer than
 * the time within which operators want changes to be in force. */
#define SERVER_LIST_STALE_MS 5000
/* A change of a server is added as a note to a line of the request that names
 * the server and follows within this time. */
#define SERVER_CHANGE_SHOWN_MS 10000

/* The last change of a server that an entry logged. */
typedef struct {
    int64_t at_ms;
    const char *what;
} ServerChange;

/* State of one entry as of the last line read from its log. */
typedef struct {
    int64_t version;
    int64_t unavailable_since_ms; /* of the store; 0: available */
    int64_t stopping_since_ms;    /* 0: no graceful stop */
    GHashTable *servers;          /* id -> ServerChange */
    int64_t unreached_since_ms;   /* all of some service; 0: none */
    uint32_t unreached;           /* services */
} EntryState;

/* A configuration version that came into force at an entry. */
typedef struct {
    int64_t time_ms;
    int64_t version;
    char *source;
} Activation;

struct GwExplain_s {
    char *id;
    GHashTable *entry_states; /* source -> EntryState */
    GPtrArray *steps;         /* GwExplainStep * */
    GArray *activations;      /* Activation */
};

static void
free_entry_state(gpointer item)
{
    EntryState *state = item;

    g_hash_table_destroy(state->servers);
    g_free(state);
}

static void
free_step(gpointer item)
{
    GwExplainStep *step = item;

    g_hash_table_destroy(step->fields);
    g_ptr_array_free(step->notes, TRUE);
    g_free(step->source);
    g_free(step);
}

static void
clear_activation(gpointer item)
{
    g_free(((Activation *)item)->source);
}

GwExplain *
GwExplain_Create(const char *request_id)
{
    GwExplain *ex = g_new0(GwExplain, 1);

    ex->id = g_strdup(request_id);
    ex->entry_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             free_entry_state);
    ex->steps = g_ptr_array_new_with_free_func(free_step);
    ex->activations = g_array_new(FALSE, FALSE, sizeof(Activation));
    g_array_set_clear_func(ex->activations, clear_activation);
    return ex;
}

void
GwExplain_Free(GwExplain *ex)
{
    if (ex == NULL) {
        return;
    }
    g_free(ex->id);
    g_hash_table_destroy(ex->entry_states);
    g_ptr_array_free(ex->steps, TRUE);
    g_array_free(ex->activations, TRUE);
    g_free(ex);
}

/* ---- Reading a line ------------------------------------------------------ */

/* Parses key=value words; a quoted value may contain spaces. */
static GHashTable *
read_fields(const char *text)
{
    GHashTable *fields =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

    while (*text != '\0') {
        text += strspn(text, " ");
        const char *equals = text + strcspn(text, "= ");
        if (*equals != '=') {
            text = equals;
            continue;
        }
        const char *value = equals + 1;
        size_t quote = *value == '"';
        size_t len = strcspn(value + quote, quote ? "\"" : " ");
        g_hash_table_replace(fields, g_strndup(text, (gsize)(equals - text)),
                             g_strndup(value + quote, len));
        text = value + quote + len;
        text += quote && *text == '"';
    }
    return fields;
}

const char *
GwExplain_FieldText(GHashTable *fields, const char *key)
{
    const char *value = g_hash_table_lookup(fields, key);

    return value != NULL ? value : "";
}

int64_t
GwExplain_FieldNumber(GHashTable *fields, const char *key)
{
    return g_ascii_strtoll(GwExplain_FieldText(fields, key), NULL, 10);
}

static EntryState *
entry_state_of(GwExplain *ex, const char *source)
{
    EntryState *state = g_hash_table_lookup(ex->entry_states, source);

    if (state == NULL) {
        state = g_new0(EntryState, 1);
        state->servers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(ex->entry_states, g_strdup(source), state);
    }
    return state;
}

static void
record_server_change(EntryState *state, GHashTable *fields, int64_t time_ms,
                     const char *what)
{
    ServerChange *change = g_new(ServerChange, 1);

    *change = (ServerChange){.at_ms = time_ms, .what = what};
    g_hash_table_replace(state->servers,
                         g_strdup(GwExplain_FieldText(fields, "server")),
                         change);
}

static void
record_activation(GwExplain *ex, EntryState *state, const char *source,
                  int64_t time_ms, GHashTable *fields)
{
    Activation activation = {.time_ms = time_ms,
                             .version =
                                 GwExplain_FieldNumber(fields, "version"),
                             .source = g_strdup(source)};

    state->version = activation.version;
    g_array_append_val(ex->activations, activation);
}

/* What the event says of a backend server; NULL: nothing. */
static const char *
server_change_text(uint32_t event)
{
    switch (event) {
    case GW_LOG_BACKEND_EJECTED:
        return "was ejected";
    case GW_LOG_BACKEND_BACK:
        return "was readmitted";
    case GW_LOG_BACKEND_DRAINING:
        return "started to drain";
    case GW_LOG_BACKEND_LEAVING:
        return "said that it leaves";
    case GW_LOG_BACKEND_RESTS:
        return "asked for rest";
    case GW_LOG_BACKEND_GONE:
        return "was removed from the registry";
    default:
        return NULL;
    }
}

/* Updates the state of the entry that logged the line. */
static void
update_entry_state(GwExplain *ex, const char *source, uint32_t event,
                   int64_t time_ms, GHashTable *fields)
{
    EntryState *state = entry_state_of(ex, source);
    const char *change;

    switch (event) {
    case GW_LOG_START:
        state->version = 0;
        state->unavailable_since_ms = 0;
        state->stopping_since_ms = 0;
        state->unreached = 0;
        g_hash_table_remove_all(state->servers);
        break;
    case GW_LOG_STOP_BEGIN:
        state->stopping_since_ms = time_ms;
        break;
    case GW_LOG_CONFIG_IN_FORCE:
        record_activation(ex, state, source, time_ms, fields);
        break;
    case GW_LOG_STORE_AWAY:
        state->unavailable_since_ms = state->unavailable_since_ms != 0
                                          ? state->unavailable_since_ms
                                          : time_ms;
        break;
    case GW_LOG_STORE_BACK:
        state->unavailable_since_ms = 0;
        break;
    case GW_LOG_SERVICE_UNREACHED:
        if (state->unreached++ == 0) {
            state->unreached_since_ms = time_ms;
        }
        break;
    case GW_LOG_SERVICE_REACHED:
        state->unreached -= state->unreached > 0;
        break;
    default:
        change = server_change_text(event);
        if (change != NULL) {
            record_server_change(state, fields, time_ms, change);
        }
        break;
    }
}

/* ---- Notes --------------------------------------------------------------- */

static void add_note(GwExplainStep *step, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_note(GwExplainStep *step, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    g_ptr_array_add(step->notes, g_strdup_vprintf(format, args));
    va_end(args);
}

static void
note_entry_state(GwExplainStep *step, const EntryState *state)
{
    const char *server = GwExplain_FieldText(step->fields, "server");
    const ServerChange *change = g_hash_table_lookup(state->servers, server);
    int64_t list_age_ms = GwExplain_FieldNumber(step->fields, "news_ms");

    if (state->unavailable_since_ms != 0) {
        add_note(step, "stale: the store had not answered for %" PRId64 " ms",
                 step->time_ms - state->unavailable_since_ms);
    }
    if (list_age_ms > SERVER_LIST_STALE_MS) {
        add_note(step, "stale: no update of the servers for %" PRId64 " ms",
                 list_age_ms);
    }
    if (state->unreached > 0) {
        add_note(step,
                 "the entry had not reached the servers of a service for "
                 "%" PRId64 " ms",
                 step->time_ms - state->unreached_since_ms);
    }
    if (state->stopping_since_ms != 0) {
        add_note(step, "the entry had been stopping for %" PRId64 " ms",
                 step->time_ms - state->stopping_since_ms);
    }
    if (change != NULL &&
        step->time_ms - change->at_ms <= SERVER_CHANGE_SHOWN_MS) {
        add_note(step, "%s %s %" PRId64 " ms before", server, change->what,
                 step->time_ms - change->at_ms);
    }
}

/* Adds a note on the first newer configuration that was already in force at
 * another entry. */
static void
note_newer_version(const GwExplain *ex, GwExplainStep *step)
{
    int64_t version = GwExplain_FieldNumber(step->fields, "config");
    const Activation *newer = NULL;

    for (guint i = 0; version != 0 && i < ex->activations->len; i++) {
        const Activation *activation =
            &g_array_index(ex->activations, Activation, i);
        if (activation->version > version &&
            activation->time_ms < step->time_ms &&
            (newer == NULL || activation->time_ms < newer->time_ms)) {
            newer = activation;
        }
    }
    if (newer != NULL) {
        add_note(step,
                 "stale: configuration %" PRId64 "; %" PRId64
                 " was in force at %s %" PRId64 " ms before",
                 version, newer->version, newer->source,
                 step->time_ms - newer->time_ms);
    }
}

void
GwExplain_AddLine(GwExplain *ex, const char *source, const char *line)
{
    const char *start = strstr(line, "time_ms=");

    if (start == NULL) {
        return;
    }
    char *prefix = g_strstrip(g_strndup(line, (gsize)(start - line)));
    const char *word = strrchr(prefix, ' ');
    const char *name = prefix[0] == '\0' ? source
                       : word != NULL    ? word + 1
                                         : prefix;
    GHashTable *fields = read_fields(start);
    uint32_t event = (uint32_t)GwExplain_FieldNumber(fields, "event");
    int64_t time_ms = GwExplain_FieldNumber(fields, "time_ms");

    if (strcmp(GwExplain_FieldText(fields, "request"), ex->id) == 0) {
        GwExplainStep *step = g_new0(GwExplainStep, 1);
        step->time_ms = time_ms;
        step->event = event;
        step->source = g_strdup(name);
        step->fields = g_hash_table_ref(fields);
        step->notes = g_ptr_array_new_with_free_func(g_free);
        note_entry_state(step, entry_state_of(ex, name));
        g_ptr_array_add(ex->steps, step);
    }
    else {
        update_entry_state(ex, name, event, time_ms, fields);
    }
    g_hash_table_unref(fields);
    g_free(prefix);
}

uint32_t
GwExplain_LineCount(const GwExplain *ex)
{
    return ex->steps->len;
}

/* ---- Output -------------------------------------------------------------- */

static const char *const shown_fields[] = {
    "status",    "why",     "route",       "server",  "outcome",    "attempts",
    "waited_ms", "took_ms", "expected_ms", "warm",    "far",        "after_ms",
    "config",    "best",    "best_busy",   "idle_ms", "closing_ms", "link",
    "member",    "reached", "by",          "for",
};

static void
write_step(const GwExplainStep *step, int64_t from_ms, GString *out)
{
    g_string_append_printf(out, "  +%" PRId64 " ms %s %s",
                           step->time_ms - from_ms, step->source,
                           GwLogEvent_Name(step->event));
    for (size_t i = 0; i < G_N_ELEMENTS(shown_fields); i++) {
        const char *value = GwExplain_FieldText(step->fields, shown_fields[i]);
        if (value[0] != '\0') {
            g_string_append_printf(out, " %s=%s", shown_fields[i], value);
        }
    }
    g_string_append_c(out, '\n');
    for (guint i = 0; i < step->notes->len; i++) {
        g_string_append_printf(out, "      %s\n",
                               (const char *)step->notes->pdata[i]);
    }
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
    const GwExplainStep *x = *(GwExplainStep *const *)a;
    const GwExplainStep *y = *(GwExplainStep *const *)b;

    return (x->time_ms > y->time_ms) - (x->time_ms < y->time_ms);
}

/* Orders the lines, and notes newer configurations: logs of other entries may
 * be added after the lines of the request. */
static void
complete(GwExplain *ex)
{
    g_ptr_array_sort(ex->steps, compare_time);
    for (guint i = 0; i < ex->steps->len; i++) {
        note_newer_version(ex, ex->steps->pdata[i]);
    }
}

void
GwExplain_Write(GwExplain *ex, GString *out)
{
    complete(ex);
    char *conclusion = GwExplain_Conclude(ex->steps);

    g_string_append_printf(out, "request %s\n", ex->id);
    for (guint i = 0; i < ex->steps->len; i++) {
        const GwExplainStep *first = ex->steps->pdata[0];
        write_step(ex->steps->pdata[i], first->time_ms, out);
    }
    g_string_append_printf(out, "%s\n", conclusion);
    g_free(conclusion);
}

static struct json_object *
step_json(const GwExplainStep *step)
{
    struct json_object *item = json_object_new_object();
    struct json_object *notes = json_object_new_array();

    GwJson_SetU64(item, "time_ms", (uint64_t)step->time_ms);
    GwJson_SetText(item, "entry", step->source);
    GwJson_SetText(item, "event", GwLogEvent_Name(step->event));
    for (size_t i = 0; i < G_N_ELEMENTS(shown_fields); i++) {
        const char *value = GwExplain_FieldText(step->fields, shown_fields[i]);
        if (value[0] != '\0') {
            GwJson_SetText(item, shown_fields[i], value);
        }
    }
    for (guint i = 0; i < step->notes->len; i++) {
        json_object_array_add(notes,
                              json_object_new_string(step->notes->pdata[i]));
    }
    json_object_object_add(item, "notes", notes);
    return item;
}

void
GwExplain_WriteJson(GwExplain *ex, GString *out)
{
    complete(ex);
    char *conclusion = GwExplain_Conclude(ex->steps);
    struct json_object *root = json_object_new_object();
    struct json_object *steps = json_object_new_array();

    GwJson_SetText(root, "request", ex->id);
    for (guint i = 0; i < ex->steps->len; i++) {
        json_object_array_add(steps, step_json(ex->steps->pdata[i]));
    }
    json_object_object_add(root, "steps", steps);
    GwJson_SetText(root, "conclusion", conclusion);
    g_string_append(
        out, json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
    g_free(conclusion);
}
