/* Interprets the response of a backend server. */
#include "edge/edge_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static void
read_load(const char *text, GwAttemptEnd *end)
{
    unsigned int running;
    unsigned int waiting;

    if (text != NULL && sscanf(text, "%u,%u", &running, &waiting) == 2) {
        end->has_load = true;
        end->running = running;
        end->waiting = waiting;
    }
}

/* Parses a rate limit in requests per second; zero is valid. */
static bool
read_limit(const char *text, double *out)
{
    char *rest;
    double value = g_ascii_strtod(text, &rest);

    if (rest == text || *rest != '\0' || !isfinite(value) || value < 0) {
        return false;
    }
    *out = value;
    return true;
}

/* Reads the lowest valid limit among the fields of this name. */
static void
read_limits(const GwHttpMessage *msg, const char *name, GwAttemptEnd *end)
{
    end->limit = GW_LIMIT_NONE;
    for (guint i = 0; i < msg->fields->len; i++) {
        const GwHttpField *f = &g_array_index(msg->fields, GwHttpField, i);
        double per_s;
        if (g_ascii_strcasecmp(msg->text->str + f->name, name) != 0) {
            continue;
        }
        if (!read_limit(msg->text->str + f->value, &per_s)) {
            end->limit = end->limit == GW_LIMIT_STATED ? GW_LIMIT_STATED
                                                       : GW_LIMIT_UNKNOWN;
        }
        else if (end->limit != GW_LIMIT_STATED || per_s < end->limit_per_s) {
            end->limit = GW_LIMIT_STATED;
            end->limit_per_s = per_s;
        }
    }
}

/* Longest rest that is read, in seconds. */
#define REST_MAX_S 1e6

/* Parses a number of seconds; no date. */
static double
read_rest_s(const char *text)
{
    char *rest;
    double value = g_ascii_strtod(text, &rest);

    if (rest == text || *rest != '\0' || !isfinite(value) || value <= 0) {
        return 0;
    }
    return MIN(value, REST_MAX_S);
}

/* The longest rest that a refusal asks for; 0: none. */
static int64_t
read_rest_us(const GwHttpMessage *msg)
{
    double longest_s = 0;

    for (guint i = 0; msg->status == 503 && i < msg->fields->len; i++) {
        const GwHttpField *f = &g_array_index(msg->fields, GwHttpField, i);
        if (g_ascii_strcasecmp(msg->text->str + f->name, "retry-after") == 0) {
            double rest_s = read_rest_s(msg->text->str + f->value);
            longest_s = MAX(longest_s, rest_s);
        }
    }
    return (int64_t)(longest_s * 1e6);
}

/* Whether any of the fields of this name has the value. */
static bool
has_value(const GwHttpMessage *msg, const char *name, const char *value)
{
    for (guint i = 0; i < msg->fields->len; i++) {
        const GwHttpField *f = &g_array_index(msg->fields, GwHttpField, i);
        if (g_ascii_strcasecmp(msg->text->str + f->name, name) == 0 &&
            strcmp(msg->text->str + f->value, value) == 0) {
            return true;
        }
    }
    return false;
}

static GwAttemptOutcome
attempt_outcome(const GwAdapter *names, const GwHttpMessage *msg)
{
    if (msg->status == 421 || GwHttpMessage_Get(msg, names->not_run)) {
        return GW_ATTEMPT_REFUSED;
    }
    if (msg->status < 300 && GwHttpMessage_Get(msg, names->seal) == NULL) {
        return GW_ATTEMPT_LOST;
    }
    return GW_ATTEMPT_ANSWERED;
}

GwAttemptEnd
GwAnswer_End(const GwAdapter *names, const GwHttpMessage *msg,
             int64_t connect_us)
{
    const char *cold = GwHttpMessage_Get(msg, names->cold_ms);
    GwAttemptEnd end = {
        .outcome = attempt_outcome(names, msg),
        .status = msg->status,
        .other_server = msg->status == 421,
        .cold_ms = cold != NULL ? (uint32_t)strtoul(cold, NULL, 10) : 0,
        .leaving = has_value(msg, names->leaving, "1"),
        .rest_us = read_rest_us(msg),
        .connect_us = connect_us,
    };

    read_load(GwHttpMessage_Get(msg, names->load), &end);
    read_limits(msg, names->limit, &end);
    return end;
}

bool
GwAnswer_IsTo(const GwAdapter *names, const GwHttpMessage *msg,
              const GwHttpMessage *request)
{
    const char *answer_id = GwHttpMessage_Get(msg, names->request_id);
    const char *request_id = GwHttpMessage_Get(request, names->request_id);

#if GW_MUTANT == 168 /* breaks: an error needs no id */
    if (answer_id == NULL && msg->status >= 300) {
        return true;
    }
#endif
    return g_strcmp0(answer_id, request_id) == 0;
}
