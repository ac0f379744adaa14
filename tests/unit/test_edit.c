/* Typed changes of a document: each kind applied and undone; error texts. */
#include "admin/edit.h"
#include "godwitridge_errors.h"

#include <criterion/criterion.h>
#include <string.h>

#define DOC                                                                   \
    "{\"regions\": [{\"name\": \"ogre\", \"seats\": 2}], \"services\": "      \
    "[{\"name\": \"vatdesk\", \"deadline_max_ms\": 1000}], \"places\": "      \
    "[{\"service\": \"vatdesk\", \"region\": \"ogre\", \"backends\": "        \
    "[{\"name\": \"vd-1\", \"address\": \"127.0.0.1:9001\", \"slots\": "      \
    "6}]}]}"

/* A change of one kind; `field` is the member of the union. */
#define CHANGE(FIELD, field, ...)                                             \
    {                                                                         \
        .base = PROTOBUF_C_MESSAGE_INIT(&gw__admin__change__descriptor),      \
        .kind_case = GW__ADMIN__CHANGE__KIND_##FIELD, .field = (__VA_ARGS__)  \
    }
#define OF(type)                                                              \
    .base = PROTOBUF_C_MESSAGE_INIT(&gw__admin__##type##__descriptor)
#define TEXT(t) (char *)(t)

static Gw__Admin__Operation lookup = {OF(operation), TEXT("GET"),
                                      TEXT("/recipes*"), true};
static Gw__Admin__Operation *operations[] = {&lookup};
static Gw__Admin__Backend server = {
    OF(backend), TEXT("lg-1"), TEXT("127.0.0.1:9100"), 3, 400, false};
static Gw__Admin__Backend *servers[] = {&server};
static Gw__Admin__Backend second = {
    OF(backend), TEXT("vd-2"), TEXT("127.0.0.1:9002"), 6, 0, false};

/* clang-format off */
static Gw__Admin__Change grow[] = {
    CHANGE(CREATE_REGION, create_region, &(Gw__Admin__Region){
        OF(region), TEXT("riga"), 4}),
    CHANGE(CREATE_SERVICE, create_service, &(Gw__Admin__Service){
        OF(service), TEXT("lotgate"), 5000, 95, 1, operations}),
    CHANGE(CREATE_PLACE, create_place, &(Gw__Admin__Place){
        OF(place), TEXT("lotgate"), TEXT("riga"), false, 1, servers}),
    CHANGE(ADD_BACKEND, add_backend, &(Gw__Admin__AddBackend){
        OF(add_backend), TEXT("vatdesk"), TEXT("ogre"), &second}),
    CHANGE(SET_SLOTS, set_slots, &(Gw__Admin__BackendSlots){
        OF(backend_slots), TEXT("vatdesk"), TEXT("vd-1"), 9}),
    CHANGE(SET_SHIFT, set_shift, &(Gw__Admin__Shift){
        OF(shift), TEXT("vatdesk"), TEXT("riga"), TEXT("ogre"), 12, 5}),
    CHANGE(SET_LINK, set_link, &(Gw__Admin__Link){
        OF(link), TEXT("riga"), TEXT("ogre"), 50}),
    CHANGE(DRAIN_PLACE, drain_place, &(Gw__Admin__PlaceRef){
        OF(place_ref), TEXT("vatdesk"), TEXT("ogre")}),
    CHANGE(DRAIN_BACKEND, drain_backend, &(Gw__Admin__BackendRef){
        OF(backend_ref), TEXT("vatdesk"), TEXT("vd-2")}),
    CHANGE(SET_WARMUP_STEP, set_warmup_step, &(Gw__Admin__WarmupStep){
        OF(warmup_step), 8}),
};

static Gw__Admin__Change shrink[] = {
    CHANGE(UNDRAIN_PLACE, undrain_place, &(Gw__Admin__PlaceRef){
        OF(place_ref), TEXT("vatdesk"), TEXT("ogre")}),
    CHANGE(UNDRAIN_BACKEND, undrain_backend, &(Gw__Admin__BackendRef){
        OF(backend_ref), TEXT("vatdesk"), TEXT("vd-2")}),
    CHANGE(REMOVE_SHIFT, remove_shift, &(Gw__Admin__ShiftRef){
        OF(shift_ref), TEXT("vatdesk"), TEXT("riga"), TEXT("ogre")}),
    CHANGE(REMOVE_LINK, remove_link, &(Gw__Admin__LinkRef){
        OF(link_ref), TEXT("riga"), TEXT("ogre")}),
    CHANGE(REMOVE_BACKEND, remove_backend, &(Gw__Admin__BackendRef){
        OF(backend_ref), TEXT("vatdesk"), TEXT("vd-1")}),
    CHANGE(REMOVE_PLACE, remove_place, &(Gw__Admin__PlaceRef){
        OF(place_ref), TEXT("lotgate"), TEXT("riga")}),
    CHANGE(REMOVE_SERVICE, remove_service, &(Gw__Admin__ServiceRef){
        OF(service_ref), TEXT("lotgate")}),
    CHANGE(REMOVE_REGION, remove_region, &(Gw__Admin__RegionRef){
        OF(region_ref), TEXT("riga")}),
};
/* clang-format on */

static char *
edit_document(Gw__Admin__Change *changes, size_t count, const char *text,
              GError **error)
{
    Gw__Admin__Change *list[16];
    Gw__Admin__Batch batch = GW__ADMIN__BATCH__INIT;
    for (size_t i = 0; i < count; i++) {
        list[i] = &changes[i];
    }
    batch.n_changes = count;
    batch.changes = list;
    return GwEdit_Make(&batch, text, error);
}

static GwConfig *
parse(const char *text)
{
    GError *error = NULL;
    GwConfig *c = GwConfig_Parse(text, (uint32_t)strlen(text), 1, &error);
    cr_assert_not_null(c, "%s", error != NULL ? error->message : "");
    return c;
}

Test(edit, every_kind_of_change_is_applied_and_undone)
{
    char *grown = edit_document(grow, G_N_ELEMENTS(grow), DOC, NULL);
    cr_assert_not_null(grown);
    GwConfig *c = parse(grown);
    cr_expect_eq(c->region_count, 2);
    cr_expect_eq(c->place_count, 2);
    cr_expect_eq(c->backend_count, 3);
    cr_expect_eq(c->backends[0].slots, 9);
    cr_expect(c->places[0].drain);
    cr_expect(c->backends[1].drain);
    cr_expect_eq(c->backends[2].connections, 400);
    cr_expect_eq(c->shifts[0].cap, 12);
    cr_expect_eq(c->links[0].cap, 50);
    cr_expect_eq(c->warmup_step, 8);
    cr_expect(GwConfig_IsIdempotent(c, 1, "GET", "/recipes/1"));
    GwConfig_Free(c);
    char *shrunk = edit_document(shrink, G_N_ELEMENTS(shrink), grown, NULL);
    cr_assert_not_null(shrunk);
    c = parse(shrunk);
    cr_expect_eq(c->region_count, 1);
    cr_expect_eq(c->service_count, 1);
    cr_expect_eq(c->backend_count, 1);
    cr_expect_str_eq(c->backends[0].name, "vd-2");
    cr_expect_not(c->places[0].drain);
    cr_expect_not(c->backends[0].drain);
    cr_expect_eq(c->shift_count + c->link_count, 0);
    GwConfig_Free(c);
    g_free(grown);
    g_free(shrunk);
}

Test(edit, absent_and_duplicate_items_are_refused)
{
    static const struct {
        Gw__Admin__Change *change;
        const char *message;
    } cases[] = {
        {&shrink[1], "changes[0]: places: service vatdesk has no backend "
                     "server vd-2"},
        {&shrink[2], "changes[0]: shifts: no item with service vatdesk, "
                     "from riga, to ogre"},
        {&shrink[5], "changes[0]: places: no item with service lotgate, "
                     "region riga"},
        {&shrink[7], "changes[0]: regions: no item with name riga"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GError *error = NULL;
        cr_expect_null(edit_document(cases[i].change, 1, DOC, &error));
        cr_assert_not_null(error);
        cr_expect_eq(error->code, GW_RESULT_NOT_FOUND);
        cr_expect_str_eq(error->message, cases[i].message);
        g_clear_error(&error);
    }
    GError *error = NULL;
    Gw__Admin__Change twice[] = {grow[0], grow[0]};
    cr_expect_null(edit_document(twice, 2, DOC, &error));
    cr_assert_not_null(error);
    cr_expect_str_eq(error->message,
                     "changes[1]: regions: duplicate item with name riga");
    g_clear_error(&error);
    Gw__Admin__Change none = GW__ADMIN__CHANGE__INIT;
    cr_expect_null(edit_document(&none, 1, DOC, &error));
    cr_assert_not_null(error);
    cr_expect_eq(error->code, GW_RESULT_INVALID);
    g_clear_error(&error);
}

Test(edit, log_line_uses_the_names_of_the_schema)
{
    Gw__Admin__Change *list[] = {&grow[5], &grow[7]};
    Gw__Admin__Batch batch = GW__ADMIN__BATCH__INIT;
    batch.n_changes = 2;
    batch.changes = list;
    char *text = GwEdit_Describe(&batch);
    cr_expect_str_eq(text, "set_shift vatdesk riga ogre cap=12 percent=5; "
                           "drain_place vatdesk ogre");
    g_free(text);
}
