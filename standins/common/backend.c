#include "common/backend.h"

#include "common/http.h"

#include <math.h>

/* Counts a new connection. Returns false, without counting it as open, when
 * connection_limit is reached. */
bool
GsBackend_Connect(GsBackend *b)
{
    if (b->connections >= b->connection_limit) {
        b->connections_refused++;
        return false;
    }
    b->connections++;
    if (b->connections > b->max_connections) {
        b->max_connections = b->connections;
    }
    return true;
}

void
GsBackend_Disconnect(GsBackend *b)
{
    b->connections--;
}

/* Admits or refuses one request; an executed request counts as in flight
 * until the matching GsBackend_End. */
GsAdmit
GsBackend_Begin(GsBackend *b, int64_t now_us)
{
    if (b->down) {
        return GS_ADMIT_DROP;
    }
    if (b->drain) {
        b->drain_last_offer_us = now_us;
    }
    uint64_t bound = (uint64_t)b->slots * b->shed_percent;
    bool full = (uint64_t)b->in_flight * 100 >= bound;
    if (b->drain || b->shed || full) {
        b->refused++;
        return GS_ADMIT_REFUSE;
    }
    if (b->silent && !b->silent_runs) {
        return GS_ADMIT_SILENT;
    }
    b->in_flight++;
    b->runs++;
    if (b->in_flight > b->max_in_flight) {
        b->max_in_flight = b->in_flight;
    }
    return b->silent ? GS_ADMIT_SILENT : GS_ADMIT_RUN;
}

static void
note_idle(GsBackend *b, int64_t now_us)
{
    if (b->drain && b->in_flight == 0 && b->drain_idle_at_us == 0) {
        b->drain_idle_at_us = now_us;
    }
}

void
GsBackend_End(GsBackend *b, int64_t now_us)
{
    b->in_flight--;
    note_idle(b, now_us);
}

/* Starts or ends a drain. A new drain resets the times of an earlier one. */
void
GsBackend_Drain(GsBackend *b, bool drain, int64_t now_us)
{
    if (drain && !b->drain) {
        b->drain_at_us = now_us;
        b->drain_idle_at_us = 0;
        b->drain_last_offer_us = 0;
    }
    b->drain = drain;
    note_idle(b, now_us);
}

static double
uniform(GwRng *rng)
{
    return ((double)(GwRng_Next(rng) >> 11) + 1.0) / 9007199254740994.0;
}

/* Draws the duration of one run in microseconds: lognormal around the
 * median, multiplied by cold_factor until cold_until_us, plus slow_ms. */
int64_t
GsBackend_ServiceTime(GsBackend *b, int64_t now_us)
{
    double u = uniform(&b->rng);
    double v = uniform(&b->rng);
    double normal = sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
    double us = (double)b->service_us * exp(b->sigma * normal);
    if (now_us < b->cold_until_us) {
        us *= b->cold_factor;
    }
    return (int64_t)us + (int64_t)b->slow_ms * 1000;
}

/* Returns the number of requests in flight that the server reports; always 0
 * with reports_no_load. */
uint32_t
GsBackend_ReportedLoad(const GsBackend *b)
{
    return b->reports_no_load ? 0 : b->in_flight;
}

/* Formats a journal line without its newline. Free with g_free. */
char *
GsRun_Format(const GsRun *run)
{
    struct json_object *o = json_object_new_object();
    const struct {
        const char *name;
        const char *value;
    } texts[] = {{"backend", run->backend},
                 {"service", run->service},
                 {"op", run->op},
                 {"key", run->key},
                 {"request_id", run->request_id}};
    for (uint32_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        json_object_object_add(o, texts[i].name,
                               json_object_new_string(texts[i].value));
    }
    json_object_object_add(o, "start_us",
                           json_object_new_int64(run->start_us));
    json_object_object_add(o, "end_us", json_object_new_int64(run->end_us));
    char *line =
        g_strdup(json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
    json_object_put(o);
    return line;
}

/* Parses a journal line. Returns false for malformed JSON or without a
 * key. */
bool
GsRun_Parse(const char *line, GsRun *out)
{
    struct json_object *o = json_tokener_parse(line);
    if (!json_object_is_type(o, json_type_object)) {
        json_object_put(o);
        return false;
    }
    *out = (GsRun){0};
    g_strlcpy(out->backend, GsJson_Text(o, "backend", ""), GS_NAME_MAX);
    g_strlcpy(out->service, GsJson_Text(o, "service", ""), GS_NAME_MAX);
    g_strlcpy(out->op, GsJson_Text(o, "op", ""), GS_NAME_MAX);
    g_strlcpy(out->key, GsJson_Text(o, "key", ""), GS_KEY_MAX);
    g_strlcpy(out->request_id, GsJson_Text(o, "request_id", ""), GS_KEY_MAX);
    out->start_us = GsJson_Int(o, "start_us", 0);
    out->end_us = GsJson_Int(o, "end_us", 0);
    json_object_put(o);
    return out->key[0] != '\0';
}
