/* Seats: partitions the units of every limit among the entries of a region
 * without a coordination service.
 *
 * Each region has a fixed number of seats, stored as rows of the platform's
 * table. A unit (a slot of a backend server, a unit of a shift's cap or of
 * a link's cap) belongs to exactly one seat by hash. Only the holder of the
 * seat may use or lend its units. A row names one holder, and each write is
 * conditional on the row's version, so that only one of two concurrent
 * claims succeeds. */
#ifndef GW_STEER_SEATS_H
#define GW_STEER_SEATS_H

#include "member/member.h"

#define GW_KEY_SEAT_PREFIX "seat/" /* + region name + "/" + %04 seat */

typedef struct GwSeats_s GwSeats;

GwSeats *GwSeats_Create(const GwNodeParams *params);
void GwSeats_Free(GwSeats *s);
/* Sets the number of seats of the region's configuration. Held seats at or
 * above `total` are handed over. */
void GwSeats_Configure(GwSeats *s, uint32_t total);
void GwSeats_Tick(GwSeats *s, int64_t now_us, const GwMembers *members,
                  GwActions *out);
void GwSeats_TableReply(GwSeats *s, int64_t now_us, const GwTableReply *reply,
                        const GwMembers *members, GwActions *out);
/* Handles SEAT_HANDOVER and SEAT_TAKEN. */
void GwSeats_Receive(GwSeats *s, int64_t now_us, const GwMessage *msg,
                     const GwMembers *members, GwActions *out);
/* True while this process may use the units of `seat`: it holds the row, is
 * not handing it over, no reclaim notice is open, and the process is not
 * fenced. */
bool GwSeats_IsUsable(const GwSeats *s, uint32_t seat);
/* True while `seat` is being handed over: GwSeats_IsUsable() is already false,
 * and steer.c calls GwSeats_Release() once no unit of the seat is in use or on
 * loan. */
bool GwSeats_IsHandingOver(const GwSeats *s, uint32_t seat);
void GwSeats_Release(GwSeats *s, int64_t now_us, uint32_t seat,
                     const GwMembers *members, GwActions *out);
/* Starts the handover of every seat; it is complete when
 * GwSeats_HeldCount() returns 0. */
void GwSeats_HandOverAll(GwSeats *s, int64_t now_us);
uint32_t GwSeats_HeldCount(const GwSeats *s);
/* A counter that increases whenever the set of usable seats may have
 * changed: by a fence, its end, or a change of holder. */
uint64_t GwSeats_Epoch(const GwSeats *s);
bool GwSeats_IsFenced(const GwSeats *s);
/* The seat that unit `index` of `owner` belongs to, below `seats`. The
 * units of one owner are spread evenly over the seats. */
uint32_t GwSeat_OfUnit(uint64_t owner, uint32_t index, uint32_t count,
                       uint32_t seats);

#endif
