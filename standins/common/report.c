#include "common/report.h"

#include "common/clock.h"
#include "common/http.h"

#include <string.h>

#define FETCH_TIMEOUT_MS 10000
#define POLL_US          100000

static bool
fetch(GsClient *client, const char *address, const char *path, GsReply *reply)
{
    GsRequest q = {.method = "GET",
                   .address = address,
                   .path = path,
                   .timeout_ms = FETCH_TIMEOUT_MS};
    return GsClient_Send(client, &q, reply) == GS_SEND_COMPLETE &&
           reply->status == 200;
}

/* Returns the statistics of all servers of all processes in one array, or NULL
 * when a process does not answer. Release with json_object_put. */
struct json_object *
GsReport_FetchStats(GsClient *client, const char *controls)
{
    struct json_object *all = json_object_new_array();
    gchar **list = g_strsplit(controls, ",", 0);
    bool good = true;
    for (uint32_t i = 0; list[i] != NULL && good; i++) {
        GsReply reply;
        good = fetch(client, list[i], "/stats", &reply);
        struct json_object *part =
            good ? json_tokener_parse(reply.body->str) : NULL;
        size_t n = part != NULL ? json_object_array_length(part) : 0;
        for (size_t k = 0; k < n; k++) {
            struct json_object *s = json_object_array_get_idx(part, k);
            json_object_array_add(all, json_object_get(s));
        }
        json_object_put(part);
        GsReply_Clear(&reply);
    }
    g_strfreev(list);
    if (!good) {
        json_object_put(all);
        return NULL;
    }
    return all;
}

static int64_t
sum_in_flight(struct json_object *stats)
{
    int64_t sum = 0;
    for (size_t i = 0; i < json_object_array_length(stats); i++) {
        struct json_object *s = json_object_array_get_idx(stats, i);
        sum += GsJson_Int(s, "in_flight", 0);
    }
    return sum;
}

/* Waits until no request is in flight: runs that start after the journals are
 * read would not be checked. Returns false after `limit_us`. */
bool
GsReport_WaitIdle(GsClient *client, const char *controls, int64_t limit_us)
{
    int64_t end_us = GsClock_Now() + limit_us;
    bool idle = false;
    while (!idle && GsClock_Now() < end_us) {
        struct json_object *stats = GsReport_FetchStats(client, controls);
        idle = stats != NULL && sum_in_flight(stats) == 0;
        json_object_put(stats);
        if (!idle) {
            GsClock_Sleep(POLL_US);
        }
    }
    return idle;
}

/* Appends the runs of all journals (GsRun, freed with g_free). Returns false
 * when a journal cannot be read or a line is malformed. */
bool
GsReport_FetchRuns(GsClient *client, const char *controls, GPtrArray *runs)
{
    gchar **list = g_strsplit(controls, ",", 0);
    bool good = true;
    for (uint32_t i = 0; list[i] != NULL && good; i++) {
        GsReply reply;
        good = fetch(client, list[i], "/journal", &reply);
        gchar **lines = g_strsplit(reply.body->str, "\n", 0);
        for (uint32_t k = 0; lines[k] != NULL && good; k++) {
            GsRun *run = g_new0(GsRun, 1);
            if (lines[k][0] != '\0' && GsRun_Parse(lines[k], run)) {
                g_ptr_array_add(runs, run);
                continue;
            }
            good = lines[k][0] == '\0';
            g_free(run);
        }
        g_strfreev(lines);
        GsReply_Clear(&reply);
    }
    g_strfreev(list);
    return good;
}

static uint64_t
count_end(const GPtrArray *records, const GsOperation *operation,
          GsOutcome outcome)
{
    uint64_t n = 0;
    for (uint32_t i = 0; i < records->len; i++) {
        const GsRecord *r = records->pdata[i];
        n += r->operation == operation && r->outcome == outcome;
    }
    return n;
}

/* Returns the distinct operations of the records. */
static GPtrArray *
operations_of(const GPtrArray *records)
{
    GPtrArray *found = g_ptr_array_new();
    for (uint32_t i = 0; i < records->len; i++) {
        const GsRecord *r = records->pdata[i];
        if (!g_ptr_array_find(found, r->operation, NULL)) {
            g_ptr_array_add(found, (gpointer)r->operation);
        }
    }
    return found;
}

static double
us_to_ms(int64_t us)
{
    return us < 0 ? -1.0 : (double)us / 1000.0;
}

static void
print_operation(const GPtrArray *records, const GsOperation *o, FILE *out)
{
    uint64_t answered = count_end(records, o, GS_OUTCOME_ANSWERED);
    uint64_t not_run = count_end(records, o, GS_OUTCOME_NOT_RUN);
    uint64_t unknown = count_end(records, o, GS_OUTCOME_UNKNOWN);
    uint64_t none = count_end(records, o, GS_OUTCOME_NONE);
    unsigned long long sent = answered + not_run + unknown + none;
    fprintf(out, "%-10s %-13s %8llu %9llu %8llu %8llu %9.1f %9.1f\n",
            o->service, o->op, sent, (unsigned long long)answered,
            (unsigned long long)not_run, (unsigned long long)unknown,
            us_to_ms(GsRecord_Percentile(records, o, 50)),
            us_to_ms(GsRecord_Percentile(records, o, 99)));
}

/* Prints the peak load of a service: the server with the most requests in
 * flight, and the number of servers that exceeded their slots. */
static void
print_load(struct json_object *stats, const char *service, FILE *out)
{
    int64_t most = 0;
    int64_t slots = 0;
    int64_t beyond = 0;
    int64_t servers = 0;
    int64_t connections = 0;
    for (size_t i = 0; i < json_object_array_length(stats); i++) {
        struct json_object *s = json_object_array_get_idx(stats, i);
        if (strcmp(GsJson_Text(s, "service", ""), service) != 0) {
            continue;
        }
        int64_t seen = GsJson_Int(s, "max_in_flight", 0);
        int64_t own = GsJson_Int(s, "slots", 0);
        servers++;
        connections = MAX(connections, GsJson_Int(s, "max_connections", 0));
        beyond += seen > own;
        if (seen > most) {
            most = seen;
            slots = own;
        }
    }
    fprintf(out,
            "%-10s %lld servers, most in flight at one: %lld of %lld slots, "
            "%lld beyond their slots; most connections at one: %lld\n",
            service, (long long)servers, (long long)most, (long long)slots,
            (long long)beyond, (long long)connections);
}

typedef struct {
    const GsOperation *operation;
    GsOutcome outcome;
    const char *reason;
    uint64_t count;
} Reason;

static void
count_reason(GArray *reasons, const GsRecord *r)
{
    for (uint32_t i = 0; i < reasons->len; i++) {
        Reason *known = &g_array_index(reasons, Reason, i);
        if (known->operation == r->operation && known->outcome == r->outcome &&
            strcmp(known->reason, r->reason) == 0) {
            known->count++;
            return;
        }
    }
    Reason fresh = {r->operation, r->outcome, r->reason, 1};
    g_array_append_val(reasons, fresh);
}

/* Counts the unanswered requests by the reason that the entries returned. */
static void
print_reasons(const GPtrArray *records, FILE *out)
{
    GArray *reasons = g_array_new(FALSE, FALSE, sizeof(Reason));
    for (uint32_t i = 0; i < records->len; i++) {
        const GsRecord *r = records->pdata[i];
        if (r->outcome != GS_OUTCOME_ANSWERED) {
            count_reason(reasons, r);
        }
    }
    for (uint32_t i = 0; i < reasons->len; i++) {
        const Reason *r = &g_array_index(reasons, Reason, i);
        fprintf(out, "%-10s %-13s %s, %s: %llu\n", r->operation->service,
                r->operation->op, GsOutcome_Name(r->outcome),
                r->reason[0] != '\0' ? r->reason : "no reason given",
                (unsigned long long)r->count);
    }
    g_array_free(reasons, TRUE);
}

/* Prints the report as a table, without the summary line. */
void
GsReport_Print(const GPtrArray *records, struct json_object *stats,
               const GsVerdict *v, FILE *out)
{
    GPtrArray *ops = operations_of(records);
    fprintf(out, "%-10s %-13s %8s %9s %8s %8s %9s %9s\n", "service", "kind",
            "sent", "answered", "not-run", "unknown", "p50 ms", "p99 ms");
    for (uint32_t i = 0; i < ops->len; i++) {
        print_operation(records, ops->pdata[i], out);
    }
    for (uint32_t i = 0; i < ops->len && stats != NULL; i++) {
        const GsOperation *o = ops->pdata[i];
        bool first = true;
        for (uint32_t k = 0; k < i; k++) {
            const GsOperation *before = ops->pdata[k];
            first = first && strcmp(before->service, o->service) != 0;
        }
        if (first) {
            print_load(stats, o->service, out);
        }
    }
    print_reasons(records, out);
    fprintf(out,
            "not sent: %llu, no outcome: %llu, replies without an outcome: "
            "%llu, unknown that ran: %llu\n",
            (unsigned long long)v->not_sent, (unsigned long long)v->no_outcome,
            (unsigned long long)v->unstated,
            (unsigned long long)v->unknown_ran);
    g_ptr_array_free(ops, TRUE);
}

static void
add_int(struct json_object *o, const char *name, int64_t value)
{
    json_object_object_add(o, name, json_object_new_int64(value));
}

static struct json_object *
verdict_json(const GsVerdict *v)
{
    struct json_object *o = json_object_new_object();
    add_int(o, "sent", (int64_t)v->sent);
    add_int(o, "answered", (int64_t)v->answered);
    add_int(o, "not_run", (int64_t)v->not_run);
    add_int(o, "unknown", (int64_t)v->unknown);
    add_int(o, "unknown_ran", (int64_t)v->unknown_ran);
    add_int(o, "not_sent", (int64_t)v->not_sent);
    add_int(o, "no_outcome", (int64_t)v->no_outcome);
    add_int(o, "doubled", (int64_t)v->doubled);
    add_int(o, "false_refusals", (int64_t)v->false_refusals);
    add_int(o, "wrong_answers", (int64_t)v->wrong_answers);
    add_int(o, "unstated", (int64_t)v->unstated);
    return o;
}

static struct json_object *
operation_json(const GPtrArray *records, const GsOperation *op)
{
    struct json_object *o = json_object_new_object();
    json_object_object_add(o, "service", json_object_new_string(op->service));
    json_object_object_add(o, "kind", json_object_new_string(op->op));
    for (int outcome = GS_OUTCOME_NONE; outcome <= GS_OUTCOME_UNKNOWN;
         outcome++) {
        uint64_t n = count_end(records, op, (GsOutcome)outcome);
        add_int(o, GsOutcome_Name((GsOutcome)outcome), (int64_t)n);
    }
    add_int(o, "p50_us", GsRecord_Percentile(records, op, 50));
    add_int(o, "p99_us", GsRecord_Percentile(records, op, 99));
    return o;
}

static struct json_object *
record_json(const GsRecord *r)
{
    struct json_object *o = json_object_new_object();
    json_object_object_add(o, "key", json_object_new_string(r->key));
    json_object_object_add(o, "service",
                           json_object_new_string(r->operation->service));
    json_object_object_add(o, "kind",
                           json_object_new_string(r->operation->op));
    json_object_object_add(o, "outcome",
                           json_object_new_string(GsOutcome_Name(r->outcome)));
    json_object_object_add(o, "reason", json_object_new_string(r->reason));
    add_int(o, "home", r->home);
    add_int(o, "attempts", r->attempts);
    add_int(o, "due_us", r->due_us);
    add_int(o, "latency_us", r->latency_us);
    json_object_object_add(o, "answer_whole",
                           json_object_new_boolean(r->answer_whole));
    return o;
}

/* Writes the report as JSON. Returns false when the file cannot be
 * written. */
bool
GsReport_Write(const char *file, const GPtrArray *records,
               struct json_object *stats, const GsVerdict *v)
{
    struct json_object *o = json_object_new_object();
    struct json_object *per_operation = json_object_new_array();
    struct json_object *list = json_object_new_array();
    GPtrArray *ops = operations_of(records);
    for (uint32_t i = 0; i < ops->len; i++) {
        json_object_array_add(per_operation,
                              operation_json(records, ops->pdata[i]));
    }
    for (uint32_t i = 0; i < records->len; i++) {
        json_object_array_add(list, record_json(records->pdata[i]));
    }
    json_object_object_add(o, "verdict", verdict_json(v));
    json_object_object_add(o, "operations", per_operation);
    json_object_object_add(o, "backends", json_object_get(stats));
    json_object_object_add(o, "requests", list);
    bool good = json_object_to_file_ext(file, o, JSON_C_TO_STRING_PLAIN) == 0;
    json_object_put(o);
    g_ptr_array_free(ops, TRUE);
    return good;
}
