/* Blocking client of the platform's list of instances. */
#ifndef GW_PLATFORM_LIST_H
#define GW_PLATFORM_LIST_H

#include "godwitridge.h"

typedef struct GwListClient_s GwListClient;

GwListClient *GwListClient_Create(const char *url, uint32_t timeout_ms);
void GwListClient_Free(GwListClient *client);
/* Reads the list; GW_ERR(STORE_AWAY) or GW_ERR(PARSE) leave it empty. Any
 * thread. */
GwResult GwListClient_Read(GwListClient *client, GwListEvent *list);
/* The time to the next reading after one of `count` items: a reading costs by
 * their number, and as many entries read. */
int64_t GwList_PeriodUs(uint32_t poll_ms, uint32_t count);
void GwListEvent_Clear(GwListEvent *list);

#endif
