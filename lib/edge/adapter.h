/* The environment of an entry: names on the wire and formats of bodies. Each
 * program links one adapter; the rest of the code uses these typed values
 * only. */
#ifndef GW_EDGE_ADAPTER_H
#define GW_EDGE_ADAPTER_H

#include "router/router.h"
#include "store/rows.h"

/* A backend server's row in the registry. */
typedef struct {
    char id[128];
    uint64_t born_ms;
    uint64_t heartbeat; /* counts from the start on */
    char service[128];
    char address[64];
    char domain[64];
    uint32_t slots;
    bool draining;
    uint32_t warmup_left_ms;
} GwServerRegistration;

typedef enum {
    GW_ROW_CONFIG = 1, /* the whole configuration */
    GW_ROW_EVACUATION, /* `name` is the failure domain */
    GW_ROW_OTHER
} GwOperatorRow;

typedef struct {
    /* Header names. */
    const char *request_id; /* identifies one attempt of a caller */
    const char *time_left;  /* time in ms that the caller still waits */
    const char *object_key; /* equal for requests about the same object */
    const char *seal;       /* marks an answer as made by the server itself */
    const char *expect_server; /* id of the only server allowed */
    const char *load;          /* "running,waiting,slots" of the server */
    const char *not_run; /* set when the server did not run the request */
    const char *cold_ms;
    const char *limit;        /* maximum requests/s of the server */
    const char *leaving;      /* "1": the server leaves */
    const char *credential;   /* key of the caller; never forwarded */
    const char *organisation; /* name of the caller's organisation */
    const char *store_era;    /* in answers of the store (store/version.h) */
    /* Paths served by entries. */
    const char *ready_path;
    const char *directory_path;
    /* Tables of the store. */
    const char *operator_table;
    const char *server_table;
    /* Paths and bodies of calls to the store; free results with g_free. The
     * store answers them at once. */
    char *(*feed_target)(const char *table, uint64_t after);
    char *(*read_target)(const char *table, const char *from_key);
    char *(*write_body)(const char *table, const char *key, const char *value);
    const char *write_target;
    GwRowSet *(*read_rows)(const char *text, size_t len, GError **error);
    char *(*write_rows)(const char *table, const GwRowSet *set);
    /* Rows. */
    GwOperatorRow (*operator_row)(const char *key, const char **name);
    GwRouting *(*read_config)(const char *text, GError **error);
    bool (*read_server)(const char *key, const char *text,
                        GwServerRegistration *out, GError **error);
    /* Body of a directory answer. */
    char *(*write_directory)(const GPtrArray *addresses, uint32_t ttl_ms);
    const char *directory_region; /* query parameters of the directory */
    const char *directory_domain;
} GwAdapter;

#endif
