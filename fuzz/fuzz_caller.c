/* Parsers of caller input: tickets, methods, targets and header values. An
 * accepted ticket is unchanged after a round trip through its text form. */
#include "wire/codec.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char text[256] = {0};
    char written[GW_TICKET_TEXT_MAX];
    GwTicket ticket;
    GwTicket again;

    memcpy(text, data, MIN(size, sizeof(text) - 1));
    GwText_IsMethod(text);
    GwText_IsTarget(text);
    GwText_IsHeaderValue(text);
    if (!GwResult_IsError(GwTicket_Parse(text, &ticket))) {
        GwTicket_Format(&ticket, written);
        g_assert(!GwResult_IsError(GwTicket_Parse(written, &again)));
        g_assert(again.seq == ticket.seq &&
                 again.minted_ms == ticket.minted_ms &&
                 GwNodeId_Equal(again.owner, ticket.owner));
    }
    return 0;
}
