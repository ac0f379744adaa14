/* Several threads relay calls to a peer that restarts repeatedly. Each call
 * must end exactly once: a second end would be attributed to another attempt,
 * and a missing end would hold the call's unit until the deadline. A call
 * reported as not sent must not have arrived. */
#include "fakes/free_port.h"
#include "runtime/net.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

enum {
    THREADS = 4,
    CALLS = 2000, /* per thread */
    RESTARTS = 10
};

static GwNet *local_net;
static atomic_uint_fast64_t remote_start;
static char remote_address[GW_ADDR_MAX];
static atomic_uint ends[THREADS * CALLS + 1];    /* by id, from 1 */
static atomic_uint arrived[THREADS * CALLS + 1]; /* by id, from 1 */
static atomic_uint unsent[THREADS * CALLS + 1];  /* by id, from 1 */
static atomic_uint ended;
static atomic_uint replied;

static void
end_call(uint64_t id)
{
    atomic_fetch_add(&ends[id], 1);
    atomic_fetch_add(&ended, 1);
}

static void
on_tick(void *ctx)
{
}

static void
on_control(void *ctx, const GwMessage *message)
{
}

static void
on_call(void *ctx, uint64_t link, GwNodeId from, GwCallRequest *call)
{
    GwEnvelope envelope = {
        .kind = GW_ENVELOPE_REPLY,
        .u.reply = {.id = call->id, .outcome = GW_OUTCOME_NOT_RUN},
    };
    size_t len;
    uint8_t *frame = GwCodec_Frame(&envelope, &len);
    atomic_fetch_add(&arrived[call->id], 1);
    GwNet_SendReply(*(GwNet **)ctx, link, frame, len);
}

static void
on_reply(void *ctx, GwCallReply *reply)
{
    atomic_fetch_add(&replied, 1);
    end_call(reply->id);
}

static void
on_cancel(void *ctx, uint64_t link, uint64_t id)
{
}

static void
on_lost(void *ctx, uint64_t id, bool sent)
{
    if (!sent) {
        atomic_store(&unsent[id], 1);
    }
    end_call(id);
}

static GwNet *
create_net(const char *address, GwNodeId id, GwNet **self)
{
    GError *error = NULL;
    GwNetParams params = {
        .id = id,
        .key = (const uint8_t *)"0123456789abcdef",
        .key_len = 16,
    };
    GwNetHost host = {self,     on_tick,   on_control, on_call,
                      on_reply, on_cancel, on_lost};
    g_strlcpy(params.listen_address, address, GW_ADDR_MAX);
    *self = GwNet_Create(&params, &host, &error);
    if (*self == NULL) {
        g_error("%s", error->message);
    }
    GwNet_Start(*self);
    return *self;
}

static void *
send_calls(void *arg)
{
    uint64_t first = (uint64_t)(uintptr_t)arg * CALLS + 1;

    for (uint64_t id = first; id < first + CALLS; id++) {
        GwEnvelope envelope = {
            .kind = GW_ENVELOPE_CALL,
            .u.call = {.id = id,
                       .service = "s",
                       .method = "POST",
                       .target = "/x"},
        };
        GwNodeId to = {2, atomic_load(&remote_start)};
        size_t len;
        uint8_t *frame = GwCodec_Frame(&envelope, &len);
        if (!GwNet_SendCall(local_net, remote_address, to, id, frame, len)) {
            atomic_store(&unsent[id], 1);
            end_call(id);
        }
        if (id % 16 == 0) {
            g_usleep(200);
        }
    }
    return NULL;
}

static uint32_t
count_faults(void)
{
    uint32_t faults = 0;
    for (uint32_t id = 1; id <= THREADS * CALLS; id++) {
        bool is_single =
            atomic_load(&ends[id]) == 1 && atomic_load(&arrived[id]) <= 1;
        bool is_unsent_correct =
            atomic_load(&unsent[id]) == 0 || atomic_load(&arrived[id]) == 0;
        faults += !is_single || !is_unsent_correct;
    }
    return faults;
}

int
main(void)
{
    static GwNet *local_self;
    static GwNet *remote_self;
    pthread_t threads[THREADS];
    char address[GW_ADDR_MAX];

    FreePort_Address(address);
    FreePort_Address(remote_address);
    local_net = create_net(address, (GwNodeId){1, 1}, &local_self);
    atomic_store(&remote_start, 1);
    GwNet *remote_net =
        create_net(remote_address, (GwNodeId){2, 1}, &remote_self);
    for (uintptr_t i = 0; i < THREADS; i++) {
        pthread_create(&threads[i], NULL, send_calls, (void *)i);
    }
    for (uint64_t start = 2; start < RESTARTS + 2; start++) {
        g_usleep(5000);
        GwNet_Free(remote_net);
        atomic_store(&remote_start, start);
        remote_net =
            create_net(remote_address, (GwNodeId){2, start}, &remote_self);
    }
    for (uint32_t i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    while (atomic_load(&ended) < THREADS * CALLS) {
        g_usleep(1000);
    }
    GwNet_Free(local_net);
    GwNet_Free(remote_net);
    uint32_t faults = count_faults();
    printf("%u calls, %u replied, %u faults\n", THREADS * CALLS,
           atomic_load(&replied), faults);
    return faults == 0 ? 0 : 1;
}
