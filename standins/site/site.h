/* A small site in one process: the store, backend servers and callers, on one
 * event loop, for entries that run as processes of their own. What the parts
 * see is written down, and judged at the end. */
#ifndef STANDINS_SITE_SITE_H
#define STANDINS_SITE_SITE_H

#include "common/rng.h"
#include "edge/adapter.h"
#include "http/conn.h"

/* ---- The store ----------------------------------------------------------- */

typedef struct SiteStore_s SiteStore;

typedef enum {
    SITE_STORE_UP = 0,
    SITE_STORE_BUSY,  /* 503 to every call */
    SITE_STORE_SILENT /* takes calls, answers nothing */
} SiteStoreMode;

SiteStore *SiteStore_Create(uv_loop_t *loop, const char *address,
                            const GwAdapter *adapter);
void SiteStore_Put(SiteStore *s, const char *table, const char *key,
                   const char *value);
void SiteStore_Remove(SiteStore *s, const char *table, const char *key);
void SiteStore_SetMode(SiteStore *s, SiteStoreMode mode);
/* Drops the history: the next feeds are told to read all again. */
void SiteStore_Compact(SiteStore *s);
void SiteStore_Sweep(SiteStore *s);

/* ---- Backend servers ----------------------------------------------------- */

typedef struct SiteServer_s SiteServer;

typedef struct {
    uv_loop_t *loop;
    const GwAdapter *adapter;
    char id[32];
    char address[32];
    uint32_t slots;
    uint32_t work_ms; /* of a cold run; a warm one takes 0.3 of it */
    /* Shares of requests, in permille, with each fault. */
    uint32_t lose_answer; /* runs, and resets the connection */
    uint32_t stray;       /* answers twice */
    uint32_t refuse;      /* says that it did not run */
    GHashTable *runs;     /* request id -> count, shared by all servers */
    GwRng *rng;
} SiteServerParams;

SiteServer *SiteServer_Create(const SiteServerParams *params);
uint32_t SiteServer_Served(const SiteServer *s);
/* Requests that reached it after this call are counted as late. */
void SiteServer_MarkDrained(SiteServer *s, int64_t now_us);
uint32_t SiteServer_Late(const SiteServer *s);

/* ---- Callers ------------------------------------------------------------- */

typedef struct {
    uint64_t sent;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t lost;           /* connection ended with no answer */
    uint64_t wrong;          /* an answer to another request */
    uint64_t doubled;        /* at most once, and ran more often */
    uint64_t false_refusals; /* "not run", and it had */
    GArray *latencies_us;    /* of answered ones: int64_t */
} SiteReport;

typedef struct {
    uv_loop_t *loop;
    const GwAdapter *adapter;
    GPtrArray *directories; /* addresses */
    const char *region;
    const char *domain;
    GHashTable *runs;
    GwRng *rng;
    SiteReport *report;
    uint32_t number;
} SiteCallerParams;

typedef struct SiteCaller_s SiteCaller;

SiteCaller *SiteCaller_Create(const SiteCallerParams *params);
void SiteCaller_Stop(SiteCaller *c); /* begins no further request */
bool SiteCaller_IsIdle(const SiteCaller *c);

#endif
