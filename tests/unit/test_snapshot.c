/* Encoding and decoding of configuration snapshots. */
#include "config/snapshot.h"
#include "fakes/cluster.h"

#include <criterion/criterion.h>
#include <string.h>

Test(snapshot, decode_inverts_encode)
{
    char *text = FakeConfig_Text(2, 1, 2, 3, 4, 12);
    uint32_t len = 0;
    char *bytes = GwSnapshot_Encode(42, text, (uint32_t)strlen(text), &len);
    GwSnapshot snapshot;

    cr_assert_eq(GwSnapshot_Decode(bytes, len, &snapshot), strlen(text));
    cr_expect_eq(snapshot.version, 42);
    cr_expect_str_eq(snapshot.text, text);
    GwSnapshot_Clear(&snapshot);
    g_free(bytes);
    g_free(text);
}

/* A snapshot that was truncated or damaged is refused, so that an operator
 * who restores a lost table uses the next older one. Accepted, it would put
 * a part of the configuration in force. */
Test(snapshot, damaged_snapshots_are_refused)
{
    char *text = FakeConfig_Text(1, 1, 1, 1, 0, 4);
    uint32_t len = 0;
    char *bytes = GwSnapshot_Encode(7, text, (uint32_t)strlen(text), &len);
    GwSnapshot snapshot;

    for (uint32_t cut = 0; cut < len; cut++) {
        cr_assert_eq(GwSnapshot_Decode(bytes, cut, &snapshot), GW_ERR(CORRUPT),
                     "cut at %u", cut);
    }
    uint32_t version_at = (uint32_t)strlen("godwitridge-config 1 ");
    for (uint32_t at = 0; at < len; at++) {
        if (at == version_at) {
            continue; /* a flipped digit is a valid other version */
        }
        bytes[at] ^= 0x01;
        cr_expect_eq(GwSnapshot_Decode(bytes, len, &snapshot), GW_ERR(CORRUPT),
                     "flipped at %u", at);
        bytes[at] ^= 0x01;
    }
    g_free(bytes);
    g_free(text);
}

Test(snapshot, names_carry_the_version)
{
    const struct {
        const char *name;
        uint64_t version; /* 0: not a name of a snapshot */
    } cases[] = {{"config-snapshot-00000000000000000012", 12},
                 {"config-snapshot-18446744073709551615", UINT64_MAX},
                 {"config-snapshot-12", 0},
                 {"config-snapshot-00000000000000000012x", 0},
                 {"config-snapshot-", 0},
                 {"other", 0},
                 {"config-snapshot-99999999999999999999", 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t version = 0;
        GwResult r = GwSnapshot_VersionOfName(cases[i].name, &version);
        cr_expect_eq(GwResult_IsError(r), cases[i].version == 0, "%s",
                     cases[i].name);
        cr_expect_eq(version, cases[i].version, "%s", cases[i].name);
    }
}
