/* Declarations shared by the commands of godwitctl. */
#ifndef GW_ADMIN_CTL_INTERNAL_H
#define GW_ADMIN_CTL_INTERNAL_H

#include "admin/admin.pb-c.h"
#include "admin/client.h"
#include "admin/ctl.h"

typedef struct {
    const GwCtlOptions *options;
    GwAdminClient *client;
    int argc; /* arguments after the name of the command */
    const char *const *argv;
} GwCtl;

typedef GwCtlExit (*GwCtlCommand)(const GwCtl *ctl);

/* Prints and frees the error; returns its exit code. */
GwCtlExit GwCtl_Fail(GError *error);
/* Prints an error of the command line; returns GW_CTL_USAGE. */
GwCtlExit GwCtl_UsageError(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
/* Parses a whole number of at most `max`; prints an error on false. */
bool GwCtl_ParseNumber(const char *name, const char *text, uint64_t max,
                       uint64_t *out);
/* Sends a change, with the request id, operator and base version of the
 * options. */
GwCtlExit GwCtl_Apply(const GwCtl *ctl, Gw__Admin__ApplyRequest *request);
GwCtlExit GwCtl_ApplyChange(const GwCtl *ctl, Gw__Admin__Change *change);
/* Waits until every live member has the version; GW_CTL_PENDING after the
 * option wait_ms. */
GwCtlExit GwCtl_WaitForVersion(const GwCtl *ctl, uint64_t version);
/* Prints the reply to a change; returns its exit code. */
GwCtlExit GwCtl_ShowChange(const GwCtl *ctl, const char *request_id,
                           const Gw__Admin__ChangeReply *reply);

GwCtlExit GwCtl_ApplyFile(const GwCtl *ctl);
GwCtlExit GwCtl_Rollback(const GwCtl *ctl);
GwCtlExit GwCtl_Drain(const GwCtl *ctl);
GwCtlExit GwCtl_Undrain(const GwCtl *ctl);
GwCtlExit GwCtl_Shift(const GwCtl *ctl);
GwCtlExit GwCtl_Link(const GwCtl *ctl);
GwCtlExit GwCtl_Slots(const GwCtl *ctl);
GwCtlExit GwCtl_Warmup(const GwCtl *ctl);
GwCtlExit GwCtl_Create(const GwCtl *ctl);
GwCtlExit GwCtl_Remove(const GwCtl *ctl);
GwCtlExit GwCtl_Get(const GwCtl *ctl);
GwCtlExit GwCtl_Where(const GwCtl *ctl);
GwCtlExit GwCtl_Snapshot(const GwCtl *ctl);
GwCtlExit GwCtl_Diff(const GwCtl *ctl);
GwCtlExit GwCtl_History(const GwCtl *ctl);
GwCtlExit GwCtl_Status(const GwCtl *ctl);
GwCtlExit GwCtl_Operation(const GwCtl *ctl);
GwCtlExit GwCtl_Entries(const GwCtl *ctl);
GwCtlExit GwCtl_Dump(const GwCtl *ctl);
GwCtlExit GwCtl_Metrics(const GwCtl *ctl);
GwCtlExit GwCtl_Call(const GwCtl *ctl);
GwCtlExit GwCtl_Top(const GwCtl *ctl);
GwCtlExit GwCtl_Suspects(const GwCtl *ctl);
GwCtlExit GwCtl_Organisations(const GwCtl *ctl);
GwCtlExit GwCtl_Release(const GwCtl *ctl);
GwCtlExit GwCtl_Explain(const GwCtl *ctl);
/* Prints the status if the admin address is that of a godwitedge entry; else
 * returns false. */
bool GwCtl_TryEdgeStatus(const GwCtl *ctl);
GwCtlExit GwCtl_SettingsPage(const GwCtl *ctl);

#endif
