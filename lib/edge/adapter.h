/* What an entry has to know of the world that it serves in: names on the
 * wire and formats of bodies. One adapter is linked into a program; the rest
 * of the code uses these typed values only. */
#ifndef GW_EDGE_ADAPTER_H
#define GW_EDGE_ADAPTER_H

#include "router/router.h"
#include "store/rows.h"

/* A backend server's own entry in the registry. */
typedef struct {
    char id[128];
    uint64_t born_ms;
    char service[128];
    char address[64];
    char domain[64];
    uint32_t slots;
    bool draining;
    uint32_t warmup_left_ms;
} GwRegistered;

typedef enum {
    GW_ROW_CONFIG = 1, /* the whole configuration */
    GW_ROW_EVACUATION, /* `name` is the failure domain */
    GW_ROW_OTHER
} GwOperatorRow;

typedef struct {
    /* Header names. */
    const char *request_id;    /* names one attempt of a caller */
    const char *time_left;     /* ms that the caller will still wait */
    const char *object_key;    /* requests about one object carry the same */
    const char *seal;          /* a server's mark that the answer is its own */
    const char *expect_server; /* only the server of this id may run it */
    const char *load;          /* running,waiting,slots at the server */
    const char *not_run;       /* the server says that it did not run it */
    const char *cold_ms;
    const char *limit; /* requests a second that the server takes at most */
    /* Paths that entries answer. */
    const char *ready_path;
    const char *directory_path;
    /* Tables of the store. */
    const char *operator_table;
    const char *server_table;
    /* Paths and bodies of the store's calls; results are freed by g_free. */
    char *(*feed_target)(const char *table, uint64_t after, uint32_t wait_ms);
    char *(*read_target)(const char *table, const char *from_key);
    char *(*write_body)(const char *table, const char *key, const char *value);
    const char *write_target;
    GwRowSet *(*read_rows)(const char *text, size_t len, GError **error);
    char *(*write_rows)(const char *table, const GwRowSet *set);
    /* Rows. */
    GwOperatorRow (*operator_row)(const char *key, const char **name);
    GwRouting *(*read_config)(const char *text, GError **error);
    bool (*read_server)(const char *key, const char *text, GwRegistered *out,
                        GError **error);
    /* The body of a directory's answer. */
    char *(*write_directory)(const GPtrArray *addresses, uint32_t ttl_ms);
    const char *directory_region; /* parameters of its query */
    const char *directory_domain;
} GwAdapter;

#endif
