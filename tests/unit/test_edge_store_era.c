/* The era that answers of the store name, at an entry. */
#include "edge/edge_internal.h"
#include "fakes/edge_entry.h"

#include <criterion/criterion.h>

/* Guards against: a refusal that names a new era goes unheard, or one header
 * that says nothing takes the rows of the live store away. */
Test(edge_store_era, every_answer_names_the_era)
{
    static const struct {
        uint16_t status;
        const char *first; /* header; NULL: none */
        const char *second;
        uint32_t era; /* believed afterwards, 7 before */
    } cases[] = {
        {200, "8", NULL, 8},
        {410, "8", NULL, 8},
        {429, "8", NULL, 8},
        {503, "8", NULL, 8},
        {503, "10", NULL, 10},
        {503, NULL, NULL, 7},
        {503, "", NULL, 7},
        {503, "-8", NULL, 7},
        {503, "eight", NULL, 7},
        {503, "8", "8", 7},
        {503, "8", "9", 7},
        {503, "6", NULL, 7},
        {503, "18446744073709551616", NULL, 7},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        GwEdge *edge = entry.edge;
        GwFeed *feeds[] = {edge->operator_feed, edge->server_feed};
        const char *name = edge->adapter->store_era;
        for (int known = 1; known >= 0; known--) {
            GwHttpMessage *msg = GwHttpMessage_Create();
            msg->status = cases[i].status;
            if (known || cases[i].first != NULL) {
                GwHttpMessage_Add(msg, name, known ? "7" : cases[i].first);
            }
            if (!known && cases[i].second != NULL) {
                GwHttpMessage_Add(msg, name, cases[i].second);
            }
            (void)GwEdge_NoteStoreAnswer(edge, NULL, msg);
            GwHttpMessage_Free(msg);
        }
        for (size_t k = 0; k < G_N_ELEMENTS(feeds); k++) {
            cr_expect_eq(GwFeed_Era(feeds[k]), cases[i].era, "case %zu", i);
        }
        EdgeEntry_Stop(&entry);
    }
}
