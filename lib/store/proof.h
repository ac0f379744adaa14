/* Proof that a copy of a table is up to date.
 *
 * A read of the store proves that the copy has every change that was
 * acknowledged before the read was requested. The proof is passed on between
 * entries, whose clocks differ, and in messages that may wait for seconds in a
 * queue. Each message therefore returns the last clock value of its receiver:
 * the receiver knows when it sent that value, and the message is not older.
 * All times must come from a clock that goes on while a machine is
 * suspended. */
#ifndef GW_STORE_PROOF_H
#define GW_STORE_PROOF_H

#include "store/version.h"

/* The copy has all changes up to `as_of_us`; 0: none are proven. */
typedef struct {
    int64_t as_of_us;
} GwProof;

/* A peer's proof: its copy had `version`, and all changes up to `as_of_us` by
 * this entry's clock; 0: none are proven. */
typedef struct {
    GwStoreVersion version;
    int64_t as_of_us;
} GwPeerProof;

/* The last clock value received from a peer. */
typedef struct {
    uint64_t process; /* of the peer; 0: none received */
    uint32_t clock_ms;
    int64_t received_us;
} GwClockEcho;

/* What a message says about clocks, in ms that wrap. */
typedef struct {
    uint32_t clock_ms;
    uint32_t echo_process; /* low bits of the receiver's process */
    uint32_t echo_clock_ms;
    uint32_t echo_held_ms; /* time since the echoed value came */
} GwClockReport;

/* Keeps the newer proof. */
void GwProof_Note(GwProof *proof, int64_t as_of_us);
/* The age of a proof as a message carries it: plus one; 0: no proof. */
uint32_t GwProof_WireAge(const GwProof *proof, int64_t now_us);
void GwClockEcho_Note(GwClockEcho *echo, uint64_t process, uint32_t clock_ms,
                      int64_t now_us);
GwClockReport GwClockEcho_Report(const GwClockEcho *echo, int64_t now_us);
/* Converts the age of a peer's proof to this entry's clock. False if there is
 * no proof, or the message does not echo a clock value of this process
 * (`own_process`). */
bool GwProof_FromPeer(const GwClockReport *report, uint32_t wire_age,
                      uint64_t own_process, int64_t now_us, int64_t *as_of_us);

#endif
