/* Commands that send one typed change. */
#include "admin/ctl_internal.h"

#include <string.h>

#define COUNT_MAX UINT32_MAX

/* Whether the first argument is `word` and the number of arguments `argc`. */
static bool
is_kind(const GwCtl *ctl, const char *word, int argc)
{
    return ctl->argc == argc && strcmp(ctl->argv[0], word) == 0;
}

static char *
arg(const GwCtl *ctl, int i)
{
    return (char *)ctl->argv[i];
}

static GwCtlExit
unknown_kind(const GwCtl *ctl)
{
    return GwCtl_UsageError(
        "unknown kind \"%s\" with %d arguments; try --help", ctl->argv[0],
        ctl->argc - 1);
}

static Gw__Admin__PlaceRef
place_ref(const GwCtl *ctl)
{
    Gw__Admin__PlaceRef ref = GW__ADMIN__PLACE_REF__INIT;
    ref.service = arg(ctl, 1);
    ref.region = arg(ctl, 2);
    return ref;
}

static Gw__Admin__BackendRef
backend_ref(const GwCtl *ctl)
{
    Gw__Admin__BackendRef ref = GW__ADMIN__BACKEND_REF__INIT;
    ref.service = arg(ctl, 1);
    ref.name = arg(ctl, 2);
    return ref;
}

static GwCtlExit
drain(const GwCtl *ctl, Gw__Admin__Change__KindCase place_kind,
      Gw__Admin__Change__KindCase backend_kind)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__PlaceRef place = place_ref(ctl);
    Gw__Admin__BackendRef backend = backend_ref(ctl);
    if (is_kind(ctl, "place", 3)) {
        change.kind_case = place_kind;
        change.drain_place = &place;
    }
    else if (is_kind(ctl, "backend", 3)) {
        change.kind_case = backend_kind;
        change.drain_backend = &backend;
    }
    else {
        return unknown_kind(ctl);
    }
    return GwCtl_ApplyChange(ctl, &change);
}

GwCtlExit
GwCtl_Drain(const GwCtl *ctl)
{
    return drain(ctl, GW__ADMIN__CHANGE__KIND_DRAIN_PLACE,
                 GW__ADMIN__CHANGE__KIND_DRAIN_BACKEND);
}

GwCtlExit
GwCtl_Undrain(const GwCtl *ctl)
{
    return drain(ctl, GW__ADMIN__CHANGE__KIND_UNDRAIN_PLACE,
                 GW__ADMIN__CHANGE__KIND_UNDRAIN_BACKEND);
}

GwCtlExit
GwCtl_Shift(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__Shift shift = GW__ADMIN__SHIFT__INIT;
    if (ctl->options->cap < 0) {
        return GwCtl_UsageError("--cap N must be given");
    }
    shift.service = arg(ctl, 0);
    shift.from = arg(ctl, 1);
    shift.to = arg(ctl, 2);
    shift.cap = (uint32_t)ctl->options->cap;
    shift.percent = (uint32_t)MAX(ctl->options->percent, 0);
    change.kind_case = GW__ADMIN__CHANGE__KIND_SET_SHIFT;
    change.set_shift = &shift;
    return GwCtl_ApplyChange(ctl, &change);
}

GwCtlExit
GwCtl_Link(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__Link link = GW__ADMIN__LINK__INIT;
    if (ctl->options->cap < 0) {
        return GwCtl_UsageError("--cap N must be given");
    }
    link.from = arg(ctl, 0);
    link.to = arg(ctl, 1);
    link.cap = (uint32_t)ctl->options->cap;
    change.kind_case = GW__ADMIN__CHANGE__KIND_SET_LINK;
    change.set_link = &link;
    return GwCtl_ApplyChange(ctl, &change);
}

GwCtlExit
GwCtl_Slots(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__BackendSlots slots = GW__ADMIN__BACKEND_SLOTS__INIT;
    uint64_t count = 0;
    if (!GwCtl_ParseNumber("SLOTS", ctl->argv[2], COUNT_MAX, &count)) {
        return GW_CTL_USAGE;
    }
    slots.service = arg(ctl, 0);
    slots.name = arg(ctl, 1);
    slots.slots = (uint32_t)count;
    change.kind_case = GW__ADMIN__CHANGE__KIND_SET_SLOTS;
    change.set_slots = &slots;
    return GwCtl_ApplyChange(ctl, &change);
}

GwCtlExit
GwCtl_Warmup(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__WarmupStep warmup = GW__ADMIN__WARMUP_STEP__INIT;
    uint64_t step = 0;
    if (!GwCtl_ParseNumber("STEP", ctl->argv[0], COUNT_MAX, &step)) {
        return GW_CTL_USAGE;
    }
    warmup.step = (uint32_t)step;
    change.kind_case = GW__ADMIN__CHANGE__KIND_SET_WARMUP_STEP;
    change.set_warmup_step = &warmup;
    return GwCtl_ApplyChange(ctl, &change);
}

static GwCtlExit
create_region(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__Region region = GW__ADMIN__REGION__INIT;
    uint64_t seats = 0;
    if (!GwCtl_ParseNumber("SEATS", ctl->argv[2], COUNT_MAX, &seats)) {
        return GW_CTL_USAGE;
    }
    region.name = arg(ctl, 1);
    region.seats = (uint32_t)seats;
    change.kind_case = GW__ADMIN__CHANGE__KIND_CREATE_REGION;
    change.create_region = &region;
    return GwCtl_ApplyChange(ctl, &change);
}

/* Creates a service without operations, which only a complete document can
 * add; until then each of its calls counts as non-idempotent. */
static GwCtlExit
create_service(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__Service service = GW__ADMIN__SERVICE__INIT;
    uint64_t deadline_ms = 0;
    if (!GwCtl_ParseNumber("DEADLINE_MS", ctl->argv[2], COUNT_MAX,
                           &deadline_ms)) {
        return GW_CTL_USAGE;
    }
    service.name = arg(ctl, 1);
    service.deadline_max_ms = (uint32_t)deadline_ms;
    change.kind_case = GW__ADMIN__CHANGE__KIND_CREATE_SERVICE;
    change.create_service = &service;
    return GwCtl_ApplyChange(ctl, &change);
}

static GwCtlExit
create_place(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__Place place = GW__ADMIN__PLACE__INIT;
    place.service = arg(ctl, 1);
    place.region = arg(ctl, 2);
    change.kind_case = GW__ADMIN__CHANGE__KIND_CREATE_PLACE;
    change.create_place = &place;
    return GwCtl_ApplyChange(ctl, &change);
}

static GwCtlExit
create_backend(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__AddBackend add = GW__ADMIN__ADD_BACKEND__INIT;
    Gw__Admin__Backend backend = GW__ADMIN__BACKEND__INIT;
    uint64_t slots = 0;
    if (!GwCtl_ParseNumber("SLOTS", ctl->argv[5], COUNT_MAX, &slots)) {
        return GW_CTL_USAGE;
    }
    add.service = arg(ctl, 1);
    add.region = arg(ctl, 2);
    add.backend = &backend;
    backend.name = arg(ctl, 3);
    backend.address = arg(ctl, 4);
    backend.slots = (uint32_t)slots;
    change.kind_case = GW__ADMIN__CHANGE__KIND_ADD_BACKEND;
    change.add_backend = &add;
    return GwCtl_ApplyChange(ctl, &change);
}

GwCtlExit
GwCtl_Create(const GwCtl *ctl)
{
    if (is_kind(ctl, "region", 3)) {
        return create_region(ctl);
    }
    if (is_kind(ctl, "service", 3)) {
        return create_service(ctl);
    }
    if (is_kind(ctl, "place", 3)) {
        return create_place(ctl);
    }
    if (is_kind(ctl, "backend", 6)) {
        return create_backend(ctl);
    }
    return unknown_kind(ctl);
}

static GwCtlExit
remove_named(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__RegionRef region = GW__ADMIN__REGION_REF__INIT;
    Gw__Admin__ServiceRef service = GW__ADMIN__SERVICE_REF__INIT;
    if (is_kind(ctl, "region", 2)) {
        region.name = arg(ctl, 1);
        change.kind_case = GW__ADMIN__CHANGE__KIND_REMOVE_REGION;
        change.remove_region = &region;
    }
    else if (is_kind(ctl, "service", 2)) {
        service.name = arg(ctl, 1);
        change.kind_case = GW__ADMIN__CHANGE__KIND_REMOVE_SERVICE;
        change.remove_service = &service;
    }
    else {
        return unknown_kind(ctl);
    }
    return GwCtl_ApplyChange(ctl, &change);
}

static GwCtlExit
remove_pair(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__PlaceRef place = place_ref(ctl);
    Gw__Admin__BackendRef backend = backend_ref(ctl);
    Gw__Admin__LinkRef link = GW__ADMIN__LINK_REF__INIT;
    link.from = arg(ctl, 1);
    link.to = arg(ctl, 2);
    if (is_kind(ctl, "place", 3)) {
        change.kind_case = GW__ADMIN__CHANGE__KIND_REMOVE_PLACE;
        change.remove_place = &place;
    }
    else if (is_kind(ctl, "backend", 3)) {
        change.kind_case = GW__ADMIN__CHANGE__KIND_REMOVE_BACKEND;
        change.remove_backend = &backend;
    }
    else if (is_kind(ctl, "link", 3)) {
        change.kind_case = GW__ADMIN__CHANGE__KIND_REMOVE_LINK;
        change.remove_link = &link;
    }
    else {
        return unknown_kind(ctl);
    }
    return GwCtl_ApplyChange(ctl, &change);
}

static GwCtlExit
remove_shift(const GwCtl *ctl)
{
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    Gw__Admin__ShiftRef shift = GW__ADMIN__SHIFT_REF__INIT;
    shift.service = arg(ctl, 1);
    shift.from = arg(ctl, 2);
    shift.to = arg(ctl, 3);
    change.kind_case = GW__ADMIN__CHANGE__KIND_REMOVE_SHIFT;
    change.remove_shift = &shift;
    return GwCtl_ApplyChange(ctl, &change);
}

GwCtlExit
GwCtl_Remove(const GwCtl *ctl)
{
    if (ctl->argc == 2) {
        return remove_named(ctl);
    }
    if (ctl->argc == 3) {
        return remove_pair(ctl);
    }
    return is_kind(ctl, "shift", 4) ? remove_shift(ctl) : unknown_kind(ctl);
}
