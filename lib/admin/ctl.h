/* The commands of godwitctl. */
#ifndef GW_ADMIN_CTL_H
#define GW_ADMIN_CTL_H

#include <stdbool.h>
#include <stdint.h>

/* Exit codes. */
typedef enum {
    GW_CTL_OK = 0,
    GW_CTL_REFUSED = 1,
    GW_CTL_USAGE = 2,
    GW_CTL_PENDING = 3,
    GW_CTL_UNREACHABLE = 4
} GwCtlExit;

/* Options of the command line; NULL and -1: not given. */
typedef struct {
    char *admin_address;
    char *call_address;
    char *token_file;
    char *base_version;
    char *request_id;
    char *operator_name;
    char *body_file;
    int json;
    int wait;
    int timeout_ms;
    int wait_ms;
    int deadline_ms;
    int cap;
    int percent;
    int limit;
    char *before;
    char *object;
    char *key_file;
} GwCtlOptions;

/* Runs a command; argv[0] is the name of the command. */
GwCtlExit GwCtl_Run(const GwCtlOptions *options, int argc,
                    const char *const *argv);
/* Prints the usage of a command; for NULL or an unknown name, lists all. */
GwCtlExit GwCtl_Help(const char *command);

#endif
