/* Admission control under overload, shared by all entries.
 *
 * Each entry measures the slot time that it is offered, by service, region and
 * level. A level says how much a request is worth for each second that it
 * occupies a slot. Entries exchange and add up these demands; from the total
 * each entry derives which share of each level the servers have capacity for.
 * All entries derive the same from the same total, so that their decisions
 * don't feed back into each other.
 *
 * No I/O, no clock and no random numbers: times are arguments. */
#ifndef GW_SHORTAGE_SHORTAGE_H
#define GW_SHORTAGE_SHORTAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Levels in steps of a factor 2; level 0 is worth most. */
#define GW_SHORTAGE_LEVELS 16

/* Slot time offered per second for one service in one region, by level. */
typedef struct {
    uint32_t service; /* hash of the name */
    uint32_t region;  /* hash of the name */
    uint32_t work_ms_per_s[GW_SHORTAGE_LEVELS];
} GwDemand;

/* Returns the level of a request worth `value` that occupies a slot for
 * `slot_us`; the last one if either is no number. */
uint32_t GwShortage_Level(double value, double slot_us);

/* ---- Demand of one entry ------------------------------------------------- */

/* Rates of the last 0.8 s by service, region and level. */
typedef struct GwDemandMeter_s GwDemandMeter;

/* Rates are those of the last 0.8 s: long enough for a stable rate at an entry
 * with ten requests per second, and short enough for the total to be without a
 * burst 2 s after its end; a total takes up to 1.5 s to reach all entries. A
 * rate that decays exponentially in a second still showed a shortage then. */
#define GW_DEMAND_WINDOW_US 800000

GwDemandMeter *GwDemandMeter_Create(void);
void GwDemandMeter_Free(GwDemandMeter *m);
void GwDemandMeter_Add(GwDemandMeter *m, int64_t now_us, uint32_t service,
                       uint32_t region, uint32_t level, double slot_us);
/* Appends a GwDemand for each service and region with any demand. */
void GwDemandMeter_Read(const GwDemandMeter *m, int64_t now_us, GArray *out);
/* Adds demands to those in `sum` (GwDemand), by service and region. */
void GwDemand_AddTo(GArray *sum, const GwDemand *demand, uint32_t count);

/* ---- Shortage ------------------------------------------------------------ */

typedef struct GwShortage_s GwShortage;

GwShortage *GwShortage_Create(void);
void GwShortage_Free(GwShortage *s);
/* Sets the demand of all entries together, as of `age_ms` ago. Ignored if what
 * is known is newer. */
void GwShortage_PutTotal(GwShortage *s, int64_t now_us, uint32_t age_ms,
                         const GwDemand *demand, uint32_t count);
/* Sets the slots that accept requests and the number of them in use. Refuses
 * nothing if one of them is negative or no finite number. */
void GwShortage_PutCapacity(GwShortage *s, int64_t now_us, uint32_t service,
                            uint32_t region, double slots, double busy);
/* Returns the share of the requests of this level that is to be admitted, 0 to
 * 1. 1 without a shortage, if the total or the capacity is too old, or beside
 * idle servers: with fewer than 0.85 of the slots in use for half a second, or
 * fewer than 0.6 at once. */
double GwShortage_AdmitShare(const GwShortage *s, int64_t now_us,
                             uint32_t service, uint32_t region,
                             uint32_t level);
/* Returns the first level that is not admitted in full, GW_SHORTAGE_LEVELS if
 * all are. In a lasting shortage it changes direction at most twice a
 * second. */
uint32_t GwShortage_Threshold(const GwShortage *s, int64_t now_us,
                              uint32_t service, uint32_t region);
/* Returns the age of the total in ms; -1 if there is none. */
int64_t GwShortage_AgeMs(const GwShortage *s, int64_t now_us);

typedef struct {
    uint32_t service;
    uint32_t region;
    uint32_t threshold; /* as GwShortage_Threshold */
    double offered_ms_per_s;
    double slots;
    double busy;
} GwShortageView;

/* Visits each service and region of the total, also those without shortage. */
void GwShortage_Each(const GwShortage *s, int64_t now_us,
                     void (*visit)(void *ctx, const GwShortageView *view),
                     void *ctx);

#endif
