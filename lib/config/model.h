/* The steering configuration, set by operators and followed by every entry.
 *
 * A GwConfig is immutable once built. Configurations are ordered by version
 * alone: a node only ever moves to a higher version. Names are resolved to
 * array indices when the document is parsed, so that the decision code
 * compares integers. All arrays are owned by the GwConfig. */
#ifndef GW_CONFIG_MODEL_H
#define GW_CONFIG_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GW_NAME_MAX       48
#define GW_ADDR_MAX       48
#define GW_PATH_MAX       128
#define GW_MAX_REGIONS    16
#define GW_MAX_DOMAINS    64
#define GW_MAX_SERVICES   32
#define GW_MAX_PLACES     256
#define GW_MAX_BACKENDS   4096
#define GW_MAX_OPERATIONS 64
#define GW_MAX_SHIFTS     1024
#define GW_MAX_LINKS      256
#define GW_MAX_SLOTS      256
#define GW_SEATS_MAX      1024 /* per region */
#define GW_CONFIG_DOC_MAX (1u << 20)
#define GW_NONE           UINT32_MAX

typedef struct {
    char name[GW_NAME_MAX];
    uint32_t seats; /* fixed; must exceed the number of entries */
} GwRegion;

/* One operation of a service. A call that matches no operation is treated
 * as non-idempotent. */
typedef struct {
    char method[8];
    char path[GW_PATH_MAX]; /* exact, or a prefix when it ends in '*' */
    bool idempotent;
} GwOperation;

typedef struct {
    char name[GW_NAME_MAX];
    uint32_t operation_count;
    GwOperation *operations;
    uint32_t deadline_max_ms;  /* longest deadline of a call */
    uint32_t hedge_percentile; /* 0: no hedging; else 50..99 */
} GwService;

/* A backend server of one place. */
typedef struct {
    char name[GW_NAME_MAX];
    char address[GW_ADDR_MAX]; /* ip:port */
    uint64_t id; /* hash of service/name, the same in every version */
    uint32_t place;
    uint32_t slots;
    uint32_t connections;
    bool drain;
} GwBackend;

/* A place: one service in one region. Its backend servers are contiguous in
 * GwConfig.backends. */
typedef struct {
    uint32_t service;
    uint32_t region;
    uint32_t first_backend;
    uint32_t backend_count;
    bool drain;
} GwPlace;

/* A shift: traffic of one service that enters in `from` and runs in `to`.
 * `cap` bounds its requests in flight; `percent` is the share moved even if
 * the local place has capacity. */
typedef struct {
    uint32_t service;
    uint32_t from;
    uint32_t to;
    uint32_t cap;
    uint32_t percent;
} GwShift;

/* The limit of the link between two regions, in requests in flight. */
typedef struct {
    uint32_t from;
    uint32_t to;
    uint32_t cap;
} GwLink;

typedef struct {
    uint64_t version;
    uint64_t checksum; /* xxh64 of the document text */
    uint32_t region_count;
    uint32_t service_count;
    uint32_t place_count;
    uint32_t backend_count;
    uint32_t shift_count;
    uint32_t link_count;
    uint32_t warmup_step; /* growth of grants per second, in units */
    GwRegion *regions;
    GwService *services;
    GwPlace *places;
    GwBackend *backends;
    GwShift *shifts;
    GwLink *links;
    uint32_t text_len;
    char *text; /* the document as accepted, NUL-terminated */
} GwConfig;

/* Error domain of the whole library; codes are GwResultCode. */
GQuark GwError_Quark(void);
#define GW_ERROR (GwError_Quark())

/* Builds a configuration from a JSON document. On failure returns NULL and
 * sets `error` with field, bound and value. */
GwConfig *GwConfig_Parse(const char *text, uint32_t len, uint64_t version,
                         GError **error);
void GwConfig_Free(GwConfig *config);

uint32_t GwConfig_FindService(const GwConfig *c, const char *name);
uint32_t GwConfig_FindRegion(const GwConfig *c, const char *name);
uint32_t GwConfig_FindPlace(const GwConfig *c, uint32_t service,
                            uint32_t region);
uint32_t GwConfig_FindShift(const GwConfig *c, uint32_t service, uint32_t from,
                            uint32_t to);
uint32_t GwConfig_FindLink(const GwConfig *c, uint32_t from, uint32_t to);
uint32_t GwConfig_FindBackend(const GwConfig *c, uint64_t id);
bool GwConfig_IsIdempotent(const GwConfig *c, uint32_t service,
                           const char *method, const char *path);

#endif
