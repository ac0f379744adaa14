#include "admin/explain.h"

#include "common/json.h"
#include "common/log_events.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* A view of the servers that nobody confirmed for so long is named: polls of
 * the store come back every 6 s though nothing has changed. */
#define OLD_NEWS_MS 8000
/* What an entry noticed of a server is told with a request's line when it was
 * at most so long before. */
#define NOTICED_MS 10000

typedef struct {
    int64_t at_ms;
    const char *what;
} Notice;

/* What one entry believed, as of the last line that was read of it. */
typedef struct {
    int64_t version;
    int64_t away_since_ms; /* the store does not answer; 0: it does */
    int64_t leaving_since_ms;
    GHashTable *servers; /* id -> Notice */
} Beliefs;

typedef struct {
    int64_t time_ms;
    uint32_t event;
    char *source;
    GHashTable *fields;
    GPtrArray *notes; /* texts */
} Step;

typedef struct {
    int64_t time_ms;
    int64_t version;
    char *source;
} Taken;

struct GwExplain_s {
    char *id;
    GHashTable *beliefs; /* source -> Beliefs */
    GPtrArray *steps;    /* Step */
    GArray *taken;       /* Taken: when which entry had which version */
};

static void
free_beliefs(gpointer item)
{
    Beliefs *b = item;

    g_hash_table_destroy(b->servers);
    g_free(b);
}

static void
free_step(gpointer item)
{
    Step *step = item;

    g_hash_table_destroy(step->fields);
    g_ptr_array_free(step->notes, TRUE);
    g_free(step->source);
    g_free(step);
}

static void
clear_taken(gpointer item)
{
    g_free(((Taken *)item)->source);
}

GwExplain *
GwExplain_Create(const char *request_id)
{
    GwExplain *ex = g_new0(GwExplain, 1);

    ex->id = g_strdup(request_id);
    ex->beliefs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_beliefs);
    ex->steps = g_ptr_array_new_with_free_func(free_step);
    ex->taken = g_array_new(FALSE, FALSE, sizeof(Taken));
    g_array_set_clear_func(ex->taken, clear_taken);
    return ex;
}

void
GwExplain_Free(GwExplain *ex)
{
    if (ex == NULL) {
        return;
    }
    g_free(ex->id);
    g_hash_table_destroy(ex->beliefs);
    g_ptr_array_free(ex->steps, TRUE);
    g_array_free(ex->taken, TRUE);
    g_free(ex);
}

/* ---- Reading a line ------------------------------------------------------ */

/* key=value words; a value in quotes may hold blanks. */
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

static const char *
field(GHashTable *fields, const char *key)
{
    const char *value = g_hash_table_lookup(fields, key);

    return value != NULL ? value : "";
}

static int64_t
number(GHashTable *fields, const char *key)
{
    return g_ascii_strtoll(field(fields, key), NULL, 10);
}

static Beliefs *
beliefs_of(GwExplain *ex, const char *source)
{
    Beliefs *b = g_hash_table_lookup(ex->beliefs, source);

    if (b == NULL) {
        b = g_new0(Beliefs, 1);
        b->servers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(ex->beliefs, g_strdup(source), b);
    }
    return b;
}

static void
notice_server(Beliefs *b, GHashTable *fields, int64_t time_ms,
              const char *what)
{
    Notice *notice = g_new(Notice, 1);

    *notice = (Notice){.at_ms = time_ms, .what = what};
    g_hash_table_replace(b->servers, g_strdup(field(fields, "server")),
                         notice);
}

static void
take_version(GwExplain *ex, Beliefs *b, const char *source, int64_t time_ms,
             GHashTable *fields)
{
    Taken taken = {.time_ms = time_ms,
                   .version = number(fields, "version"),
                   .source = g_strdup(source)};

    b->version = taken.version;
    g_array_append_val(ex->taken, taken);
}

/* Follows what the entry believes. */
static void
follow(GwExplain *ex, const char *source, uint32_t event, int64_t time_ms,
       GHashTable *fields)
{
    Beliefs *b = beliefs_of(ex, source);

    switch (event) {
    case GW_LOG_START:
        b->version = 0;
        b->away_since_ms = 0;
        b->leaving_since_ms = 0;
        g_hash_table_remove_all(b->servers);
        break;
    case GW_LOG_STOP_BEGIN:
        b->leaving_since_ms = time_ms;
        break;
    case GW_LOG_CONFIG_IN_FORCE:
        take_version(ex, b, source, time_ms, fields);
        break;
    case GW_LOG_STORE_AWAY:
        b->away_since_ms = b->away_since_ms != 0 ? b->away_since_ms : time_ms;
        break;
    case GW_LOG_STORE_BACK:
        b->away_since_ms = 0;
        break;
    case GW_LOG_BACKEND_EJECTED:
        notice_server(b, fields, time_ms, "was passed over");
        break;
    case GW_LOG_BACKEND_BACK:
        notice_server(b, fields, time_ms, "answered well again");
        break;
    case GW_LOG_BACKEND_DRAINING:
        notice_server(b, fields, time_ms, "was said to drain");
        break;
    case GW_LOG_BACKEND_GONE:
        notice_server(b, fields, time_ms, "left the registry");
        break;
    default:
        break;
    }
}

/* ---- What was wrong at a step -------------------------------------------- */

static void add_note(Step *step, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_note(Step *step, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    g_ptr_array_add(step->notes, g_strdup_vprintf(format, args));
    va_end(args);
}

static void
note_beliefs(Step *step, const Beliefs *b)
{
    const char *server = field(step->fields, "server");
    const Notice *notice = g_hash_table_lookup(b->servers, server);
    int64_t news_ms = number(step->fields, "news_ms");

    if (b->away_since_ms != 0) {
        add_note(step, "stale: the store had not answered for %" PRId64 " ms",
                 step->time_ms - b->away_since_ms);
    }
    if (news_ms > OLD_NEWS_MS) {
        add_note(step, "stale: no news of the servers for %" PRId64 " ms",
                 news_ms);
    }
    if (b->leaving_since_ms != 0) {
        add_note(step, "the entry was leaving for %" PRId64 " ms",
                 step->time_ms - b->leaving_since_ms);
    }
    if (notice != NULL && step->time_ms - notice->at_ms <= NOTICED_MS) {
        add_note(step, "%s %s %" PRId64 " ms before", server, notice->what,
                 step->time_ms - notice->at_ms);
    }
}

/* Whether another entry had a newer configuration by then. */
static void
note_version(const GwExplain *ex, Step *step)
{
    int64_t version = number(step->fields, "config");
    const Taken *newer = NULL;

    for (guint i = 0; version != 0 && i < ex->taken->len; i++) {
        const Taken *t = &g_array_index(ex->taken, Taken, i);
        if (t->version > version && t->time_ms < step->time_ms &&
            (newer == NULL || t->time_ms < newer->time_ms)) {
            newer = t;
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
GwExplain_Add(GwExplain *ex, const char *source, const char *line)
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
    uint32_t event = (uint32_t)number(fields, "event");
    int64_t time_ms = number(fields, "time_ms");

    if (strcmp(field(fields, "request"), ex->id) == 0) {
        Step *step = g_new0(Step, 1);
        step->time_ms = time_ms;
        step->event = event;
        step->source = g_strdup(name);
        step->fields = g_hash_table_ref(fields);
        step->notes = g_ptr_array_new_with_free_func(g_free);
        note_beliefs(step, beliefs_of(ex, name));
        g_ptr_array_add(ex->steps, step);
    }
    else {
        follow(ex, name, event, time_ms, fields);
    }
    g_hash_table_unref(fields);
    g_free(prefix);
}

uint32_t
GwExplain_Count(const GwExplain *ex)
{
    return ex->steps->len;
}

/* ---- Conclusion ---------------------------------------------------------- */

typedef struct {
    const char *why;
    const char *text;
} Meaning;

/* Of an answer of our own. */
static const Meaning meanings[] = {
    {"no-config", "the entry knew no configuration yet"},
    {"no-route", "no route of the configuration matches it"},
    {"no-server", "no server of the service might take it"},
    {"no-room", "even the best server would have answered too late"},
    {"no-retry", "every attempt was refused or met no server, and none was "
                 "left"},
    {"timeout", "it was sent, and its time was over before an answer came"},
    {"time-unsent", "its time was over before a server was free"},
    {"broken", "it was sent, and no whole answer came; it was not sent again"},
};

static const char *
meaning_of(const char *why)
{
    for (size_t i = 0; i < G_N_ELEMENTS(meanings); i++) {
        if (strcmp(meanings[i].why, why) == 0) {
            return meanings[i].text;
        }
    }
    return "for a reason that this program does not know";
}

/* The status says whether it may have run, the reason why there was no
 * further attempt. */
static void
conclude_reply(const Step *step, GString *out)
{
    const char *why = field(step->fields, "why");
    int64_t status = number(step->fields, "status");
    bool sent = strcmp(why, "timeout") == 0 || strcmp(why, "broken") == 0;

    if (status == 503) {
        g_string_append(out, "not run: ");
    }
    else if (status != 404) {
        g_string_append(out, sent ? "unknown: "
                                  : "unknown: an attempt may have run it; for "
                                    "another, ");
    }
    g_string_append(out, meaning_of(why));
}

/* Why an answer took its time. */
static void
conclude_answer(const Step *step, GString *out)
{
    int64_t took_ms = number(step->fields, "took_ms");
    int64_t waited_ms = number(step->fields, "waited_ms");

    g_string_append_printf(out, "answered by %s with %s after %" PRId64 " ms",
                           field(step->fields, "server"),
                           field(step->fields, "status"), took_ms);
    if (waited_ms * 2 > took_ms) {
        g_string_append_printf(out, ", %" PRId64 " of them waiting for a slot",
                               waited_ms);
    }
    if (number(step->fields, "far")) {
        g_string_append(out, ", in another region");
    }
    if (!number(step->fields, "warm")) {
        g_string_append(out, ", by a server that did not hold its object");
    }
    if (number(step->fields, "attempts") > 1) {
        g_string_append_printf(out, ", at attempt %s",
                               field(step->fields, "attempts"));
    }
}

static void
conclude_cut(const Step *step, GString *out)
{
    if (number(step->fields, "attempts") > 0) {
        g_string_append(out, "unknown: it was sent, and its entry ended "
                             "before an answer came");
    }
    else {
        g_string_append(out, "not run: its entry ended before it was sent");
    }
}

static void
conclude_step(const Step *step, GString *out)
{
    switch (step->event) {
    case GW_LOG_REQUEST_ANSWERED:
        conclude_answer(step, out);
        break;
    case GW_LOG_REQUEST_LEFT:
        g_string_append_printf(out, "its caller left after %s ms",
                               field(step->fields, "took_ms"));
        break;
    case GW_LOG_REQUEST_CUT:
        conclude_cut(step, out);
        break;
    case GW_LOG_REQUEST_DROPPED:
        g_string_append(out, "not run: it came behind the close of its "
                             "connection, and nobody answered it");
        break;
    default:
        conclude_reply(step, out);
        break;
    }
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
    const Step *x = *(Step *const *)a;
    const Step *y = *(Step *const *)b;

    return (x->time_ms > y->time_ms) - (x->time_ms < y->time_ms);
}

static char *
conclude(GwExplain *ex)
{
    GString *out = g_string_new(NULL);
    const Step *last = NULL;

    g_ptr_array_sort(ex->steps, by_time);
    for (guint i = 0; i < ex->steps->len; i++) {
        const Step *step = ex->steps->pdata[i];
        last = step->event != GW_LOG_ATTEMPT_FAILED ? step : last;
    }
    if (last == NULL) {
        g_string_append(out, ex->steps->len == 0
                                 ? "no line of this request was found"
                                 : "its end is not in these logs: the entry "
                                   "was lost, or the line was dropped");
    }
    else {
        conclude_step(last, out);
    }
    return g_string_free(out, FALSE);
}

/* ---- Out ----------------------------------------------------------------- */

static const char *const shown[] = {
    "status",    "why",     "route",       "server",  "outcome",    "attempts",
    "waited_ms", "took_ms", "expected_ms", "warm",    "far",        "after_ms",
    "config",    "best",    "best_busy",   "idle_ms", "closing_ms",
};

static void
write_step(const Step *step, int64_t from_ms, GString *out)
{
    g_string_append_printf(out, "  +%" PRId64 " ms %s %s",
                           step->time_ms - from_ms, step->source,
                           GwLogEvent_Name(step->event));
    for (size_t i = 0; i < G_N_ELEMENTS(shown); i++) {
        const char *value = field(step->fields, shown[i]);
        if (value[0] != '\0') {
            g_string_append_printf(out, " %s=%s", shown[i], value);
        }
    }
    g_string_append_c(out, '\n');
    for (guint i = 0; i < step->notes->len; i++) {
        g_string_append_printf(out, "      %s\n",
                               (const char *)step->notes->pdata[i]);
    }
}

/* All lines have been read: what other entries knew can be told now. */
static void
complete(GwExplain *ex)
{
    for (guint i = 0; i < ex->steps->len; i++) {
        note_version(ex, ex->steps->pdata[i]);
    }
}

void
GwExplain_Write(GwExplain *ex, GString *out)
{
    char *conclusion = conclude(ex);

    complete(ex);
    g_string_append_printf(out, "request %s\n", ex->id);
    for (guint i = 0; i < ex->steps->len; i++) {
        const Step *first = ex->steps->pdata[0];
        write_step(ex->steps->pdata[i], first->time_ms, out);
    }
    g_string_append_printf(out, "%s\n", conclusion);
    g_free(conclusion);
}

static struct json_object *
step_json(const Step *step)
{
    struct json_object *item = json_object_new_object();
    struct json_object *notes = json_object_new_array();

    GwJson_SetU64(item, "time_ms", (uint64_t)step->time_ms);
    GwJson_SetText(item, "entry", step->source);
    GwJson_SetText(item, "event", GwLogEvent_Name(step->event));
    for (size_t i = 0; i < G_N_ELEMENTS(shown); i++) {
        const char *value = field(step->fields, shown[i]);
        if (value[0] != '\0') {
            GwJson_SetText(item, shown[i], value);
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
    char *conclusion = conclude(ex);
    struct json_object *root = json_object_new_object();
    struct json_object *steps = json_object_new_array();

    complete(ex);
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
