/* Sums of loads sent as changes, in several parts. */
#include "edge/sum_change.h"

#include <criterion/criterion.h>

#define SERVERS    3000
#define FITS_BYTES 9000 /* leaves space for names, placements and addresses */
#define PARTS_MAX  (SERVERS / GW_SUM_NAMED_MAX + 1)

static uint32_t set_count;

static void
count_set(void *ctx, const char *region, uint32_t server, uint32_t count)
{
    (void)ctx;
    (void)region;
    (void)server;
    set_count += count > 0;
}

/* Guards against silent truncation of a sum with more servers than fit into
 * a datagram. */
Test(sum_change, large_sum_is_sent_in_parts_that_fit)
{
    GwLoadSum *sum = GwLoadSum_Create();
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
    GwSumSource *source = GwSumSource_Create(7);
    GwSumCopy *copy = GwSumCopy_Create(count_set, NULL);
    GwSumMessage *message = GwSumMessage_Create();

    for (uint32_t i = 1; i <= SERVERS; i++) {
        GwPeerLoad load = {i * 2654435761u, 1 + i % 300};
        g_array_append_val(loads, load);
    }
    GwLoadSum_Add(sum, "r1", loads);
    GwSumSource_Update(source, sum);
    for (int part = 0; part < PARTS_MAX; part++) {
        GwSumAck ack = GwSumCopy_Ack(copy);
        Gw__Peer__SumChange *change =
            GwSumSource_WriteChange(source, &ack, "r1", NULL, message);
        cr_expect_leq(gw__peer__sum_change__get_packed_size(change),
                      FITS_BYTES, "part %d", part);
        cr_expect(GwSumCopy_Apply(copy, change), "part %d", part);
    }
    cr_expect_eq(set_count, SERVERS);
    GwSumMessage_Free(message);
    GwSumCopy_Free(copy);
    GwSumSource_Free(source);
    g_array_free(loads, TRUE);
    GwLoadSum_Free(sum);
}
