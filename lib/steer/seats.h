/* Seats: how limits hold across entries with no coordination service.
 *
 * Each region has a fixed number of seats, rows of the platform's table. A
 * unit (one slot of a backend server, one of a shift's cap, one of a link's)
 * belongs to exactly one seat by hash. Whoever holds the seat may use or
 * lend its units. A row has one holder; a write is conditional on the row's
 * version, so two claims of one seat have one winner. */
#ifndef GW_STEER_SEATS_H
#define GW_STEER_SEATS_H

#include "member/member.h"

#define GW_KEY_SEAT_PREFIX "seat/" /* + region name + "/" + %04 seat */

typedef struct GwSeats_s GwSeats;

GwSeats *GwSeats_Create(const GwNodeParams *params);
void GwSeats_Free(GwSeats *s);
/* `total` is the number of seats of the region's configuration. */
void GwSeats_Configure(GwSeats *s, uint32_t total);
void GwSeats_Tick(GwSeats *s, int64_t now_us, const GwMembers *members,
                  GwActions *out);
void GwSeats_TableReply(GwSeats *s, int64_t now_us, const GwTableReply *reply,
                        const GwMembers *members, GwActions *out);
/* SEAT_HANDOVER and SEAT_TAKEN. */
void GwSeats_Receive(GwSeats *s, int64_t now_us, const GwMessage *msg,
                     const GwMembers *members, GwActions *out);
/* True while this node may use the units of `seat`: it holds the row, is not
 * handing it over, and is not fenced. */
bool GwSeats_Usable(const GwSeats *s, uint32_t seat);
/* Seats being given away: usable() is already false; the owner of the units
 * calls Release once nothing of that seat is in flight or on loan. */
bool GwSeats_IsParting(const GwSeats *s, uint32_t seat);
void GwSeats_Release(GwSeats *s, int64_t now_us, uint32_t seat,
                     const GwMembers *members, GwActions *out);
/* Give every seat away; done when GwSeats_HeldCount is 0. */
void GwSeats_Leave(GwSeats *s, int64_t now_us);
uint32_t GwSeats_HeldCount(const GwSeats *s);
/* Raised by one each time a fence or a change of holding took effect. */
uint64_t GwSeats_Epoch(const GwSeats *s);
bool GwSeats_IsFenced(const GwSeats *s);
/* The seat that unit `index` of `count` units of an owner belongs to: units
 * of one owner are spread evenly over the seats. */
uint32_t GwSeat_OfUnit(uint64_t owner, uint32_t index, uint32_t count,
                       uint32_t seats);

#endif
