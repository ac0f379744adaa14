#include "edge/fetch_tree.h"

#include "router/router_internal.h"

bool
GwEntryRank_IsBefore(const GwEntryRank *a, const GwEntryRank *b)
{
    if (a->link_kbps != b->link_kbps) {
        return a->link_kbps > b->link_kbps;
    }
    if (a->cpu_milli != b->cpu_milli) {
        return a->cpu_milli > b->cpu_milli;
    }
    return GwHash_Text(a->name, 1) > GwHash_Text(b->name, 1);
}

bool
GwFetchCopy_IsLarge(const GwFetchCopy *copy)
{
    uint64_t copy_us =
        copy->link_kbps > 0 ? copy->bytes * 8000 / copy->link_kbps : 0;

    return copy_us > GW_FETCH_COPY_US;
}

bool
GwFetchView_MayFetch(const GwFetchView *view)
{
    int64_t wait_us =
        view->is_bootstrapping ? GW_FETCH_START_WAIT_US : GW_FETCH_WAIT_US;

    if (view->own_rank == 0 || view->domain_size < GW_FETCH_TREE_MIN ||
        view->waited_us >= wait_us) {
        return true;
    }
    return view->provider_rank == (view->own_rank - 1) / GW_FETCH_FANOUT;
}
