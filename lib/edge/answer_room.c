#include "edge/answer_room.h"

/* A caller may use one of this many parts of the room. */
#define CALLER_PARTS 8
/* Parts by which an expected size shrinks with each smaller answer, of a route
 * and of all large ones. */
#define DECAY_PARTS         16
#define LARGEST_DECAY_PARTS 256
/* Routes with an expected size of their own. */
#define ROUTES_MAX 1024
/* Period of samples of the rate, and weight of the newest. */
#define SAMPLE_US     INT64_C(1000000)
#define SAMPLE_WEIGHT 0.5
/* Bounds of Retry-After. */
#define RETRY_AFTER_MIN_MS 250.0
#define RETRY_AFTER_MAX_MS 3000.0

void
GwAnswerRoom_Init(GwAnswerRoom *room, const GwHttpBudget *budget)
{
    *room = (GwAnswerRoom){
        .budget = budget,
        .sizes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .bytes_per_s = -1,
    };
}

void
GwAnswerRoom_Clear(GwAnswerRoom *room)
{
    g_hash_table_destroy(room->sizes);
}

/* ---- Expected sizes ------------------------------------------------------ */

static uint64_t
limit(const GwAnswerRoom *room)
{
    return GwHttpBudget_ResponsesLimit(room->budget, GW_HTTP_SMALL_BYTES + 1);
}

uint64_t
GwAnswerRoom_Expect(const GwAnswerRoom *room, const char *route)
{
    if (room->largest <= GW_HTTP_SMALL_BYTES) {
        return 0;
    }
    const uint64_t *size = g_hash_table_lookup(room->sizes, route);
    uint64_t bytes = size != NULL ? *size : room->largest;
    /* Half, so that a single request always finds room. */
    return bytes > GW_HTTP_SMALL_BYTES ? MIN(bytes, limit(room) / 2) : 0;
}

void
GwAnswerRoom_Learn(GwAnswerRoom *room, const char *route, uint64_t bytes)
{
    uint64_t *size = g_hash_table_lookup(room->sizes, route);

    if (bytes > GW_HTTP_SMALL_BYTES) {
        room->answered += bytes;
        room->largest =
            MAX(bytes, room->largest - room->largest / LARGEST_DECAY_PARTS);
    }
    if (size == NULL) {
        if (g_hash_table_size(room->sizes) >= ROUTES_MAX) {
            g_hash_table_remove_all(room->sizes);
        }
        size = g_new0(uint64_t, 1);
        g_hash_table_insert(room->sizes, g_strdup(route), size);
    }
    *size = MAX(bytes, *size - *size / DECAY_PARTS);
}

/* ---- Room ---------------------------------------------------------------- */

static bool
fits(const GwAnswerRoom *room, uint64_t bytes)
{
#if GW_MUTANT == 156 /* breaks: requests are sent without room for answers */
    return true;
#endif
    return room->budget->responses + room->reserved + bytes <= limit(room);
}

/* Time until the room that is missing comes free, in ms; negative: unknown. */
static double
forecast_ms(const GwAnswerRoom *room, const GwRoomRequest *request)
{
    uint64_t wanted = room->budget->responses + room->reserved +
                      request->bytes_ahead + request->bytes;

    if (room->bytes_per_s < 0) {
        return -1;
    }
    return wanted <= limit(room) ? 0
                                 : (double)(wanted - limit(room)) * 1e3 /
                                       MAX(room->bytes_per_s, 1.0);
}

GwRoomVerdict
GwAnswerRoom_Decide(const GwAnswerRoom *room, const GwRoomRequest *request,
                    uint32_t *retry_after_ms)
{
    double wait_ms = forecast_ms(room, request);

    if (request->left_us <= 0 || wait_ms * 1e3 > (double)request->left_us) {
        *retry_after_ms =
            (uint32_t)CLAMP(wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        return GW_ROOM_TOO_LATE;
    }
#if GW_MUTANT != 157 /* breaks: one caller holds the room of all */
    if (request->caller_bytes > 0 &&
        request->caller_bytes + request->bytes > limit(room) / CALLER_PARTS) {
        return GW_ROOM_CALLER_FULL;
    }
#endif
    return request->bytes_ahead == 0 && fits(room, request->bytes)
               ? GW_ROOM_GRANTED
               : GW_ROOM_FULL;
}

void
GwAnswerRoom_Reserve(GwAnswerRoom *room, uint64_t bytes)
{
    room->reserved += bytes;
}

void
GwAnswerRoom_Release(GwAnswerRoom *room, uint64_t bytes)
{
    g_assert(bytes <= room->reserved);
    room->reserved -= bytes;
}

/* With nothing waiting, the rate says how much is asked for and not how fast
 * room comes free. */
void
GwAnswerRoom_Sample(GwAnswerRoom *room, bool are_waiting, int64_t now_us)
{
    int64_t span_us = now_us - room->sampled_us;

    if (!are_waiting) {
        room->sampled_us = 0;
        room->bytes_per_s = -1;
        return;
    }
    if (room->sampled_us != 0 && span_us < SAMPLE_US) {
        return;
    }
    if (room->sampled_us != 0) {
        double rate =
            (double)(room->answered - room->sampled) * 1e6 / (double)span_us;
        room->bytes_per_s =
            room->bytes_per_s < 0
                ? rate
                : room->bytes_per_s +
                      (rate - room->bytes_per_s) * SAMPLE_WEIGHT;
    }
    room->sampled = room->answered;
    room->sampled_us = now_us;
}
