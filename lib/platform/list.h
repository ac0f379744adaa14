/* Blocking client of the platform's list of instances. */
#ifndef GW_PLATFORM_LIST_H
#define GW_PLATFORM_LIST_H

#include "godwitridge.h"

typedef struct GwInstanceListClient_s GwInstanceListClient;

GwInstanceListClient *GwInstanceListClient_Create(const char *url,
                                                  uint32_t timeout_ms);
void GwInstanceListClient_Free(GwInstanceListClient *client);
/* Reads the list and returns its length; GW_ERR(STORE_AWAY) and
 * GW_ERR(PARSE) leave it empty. Thread-safe. */
GwResult GwInstanceListClient_Read(GwInstanceListClient *client,
                                   GwInstanceList *list);
/* Returns the interval between readings of a list of `count` items, at least
 * `poll_ms`. The interval grows with `count`, because both the cost of a
 * reading and the number of entries that read the list grow with it. */
int64_t GwInstanceList_PeriodUs(uint32_t poll_ms, uint32_t count);
/* Frees what the list owns and empties it. */
void GwInstanceList_Clear(GwInstanceList *list);

#endif
