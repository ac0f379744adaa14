/* Blocking client of the platform's list of instances. */
#ifndef GW_PLATFORM_LIST_H
#define GW_PLATFORM_LIST_H

#include "godwitridge.h"

typedef struct GwListClient_s GwListClient;

GwListClient *GwListClient_Create(const char *url, uint32_t timeout_ms);
void GwListClient_Free(GwListClient *client);
/* Reads the list and returns its length; GW_ERR(STORE_AWAY) and
 * GW_ERR(PARSE) leave it empty. Thread-safe. */
GwResult GwListClient_Read(GwListClient *client, GwListEvent *list);
/* Returns the interval between readings of a list of `count` items, at least
 * `poll_ms`. The interval grows with `count`, because both the cost of a
 * reading and the number of entries that read the list grow with it. */
int64_t GwList_PeriodUs(uint32_t poll_ms, uint32_t count);
/* Frees what the list owns and empties it. */
void GwListEvent_Clear(GwListEvent *list);

#endif
