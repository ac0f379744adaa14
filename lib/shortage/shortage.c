#include "shortage/shortage.h"

struct GwShortage_s {
    int64_t total_at_us;
};

struct GwDemandMeter_s {
    GArray *demands;
};

uint32_t
GwShortage_Level(double value, double slot_us)
{
    (void)value;
    (void)slot_us;
    return 0;
}

GwDemandMeter *
GwDemandMeter_Create(void)
{
    GwDemandMeter *m = g_new0(GwDemandMeter, 1);

    m->demands = g_array_new(FALSE, FALSE, sizeof(GwDemand));
    return m;
}

void
GwDemandMeter_Free(GwDemandMeter *m)
{
    if (m != NULL) {
        g_array_free(m->demands, TRUE);
        g_free(m);
    }
}

void
GwDemandMeter_Add(GwDemandMeter *m, int64_t now_us, uint32_t service,
                  uint32_t region, uint32_t level, double slot_us)
{
}

void
GwDemandMeter_Read(const GwDemandMeter *m, int64_t now_us, GArray *out)
{
}

void
GwDemand_AddTo(GArray *sum, const GwDemand *demand, uint32_t count)
{
}

GwShortage *
GwShortage_Create(void)
{
    return g_new0(GwShortage, 1);
}

void
GwShortage_Free(GwShortage *s)
{
    g_free(s);
}

void
GwShortage_PutTotal(GwShortage *s, int64_t now_us, uint32_t age_ms,
                    const GwDemand *demand, uint32_t count)
{
}

void
GwShortage_PutCapacity(GwShortage *s, int64_t now_us, uint32_t service,
                       uint32_t region, double slots, double busy)
{
}

double
GwShortage_AdmitShare(const GwShortage *s, int64_t now_us, uint32_t service,
                      uint32_t region, uint32_t level)
{
    return 1;
}

uint32_t
GwShortage_Threshold(const GwShortage *s, int64_t now_us, uint32_t service,
                     uint32_t region)
{
    return GW_SHORTAGE_LEVELS;
}

int64_t
GwShortage_AgeMs(const GwShortage *s, int64_t now_us)
{
    return -1;
}

void
GwShortage_Each(const GwShortage *s, int64_t now_us,
                void (*visit)(void *ctx, const GwShortageView *view),
                void *ctx)
{
}
