/* The parts of a request that its fingerprint covers, and its text form. */
#include "common/fingerprint.h"

#include <criterion/criterion.h>
#include <string.h>

static GwFingerprintParts
sample_parts(void)
{
    return (GwFingerprintParts){
        .method = "GET",
        .host = "h",
        .target = "/a/b",
        .caller = "10.0.0.1",
        .body = "xy",
        .body_len = 2,
    };
}

Test(fingerprint, every_part_changes_it)
{
    GwFingerprintParts same = sample_parts();
    GwFingerprintParts others[] = {
        sample_parts(), sample_parts(), sample_parts(), sample_parts(),
        sample_parts(), sample_parts(), sample_parts(), sample_parts()};
    GwFingerprint f = GwFingerprint_Compute(&same);
    GwFingerprint again = GwFingerprint_Compute(&same);

    others[0].method = "PUT";
    others[1].host = "g";
    others[2].target = "/a/c";
    others[3].caller = "10.0.0.2";
    others[4].body = "xz";
    others[5].body_len = 1;
    /* Same bytes as `same`, split between host and target elsewhere. */
    others[6].host = "h/a";
    others[6].target = "/b";
    others[7].body_len = 0;
    cr_expect(GwFingerprint_Equal(&f, &again));
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        GwFingerprint g = GwFingerprint_Compute(&others[i]);
        cr_expect_not(GwFingerprint_Equal(&f, &g), "case %zu", i);
    }
}

Test(fingerprint, text_form_survives_a_round_trip)
{
    static const char *const bad[] = {"",
                                      "0",
                                      "0123456789abcdef0123456789abcde",
                                      "0123456789abcdef0123456789abcdeg",
                                      "0123456789abcdef0123456789abcdef0",
                                      "-123456789abcdef0123456789abcdef"};
    GwFingerprint f = {.hi = 0x0123, .lo = 0xfedcba9876543210};
    GwFingerprint back;
    char text[GW_FINGERPRINT_TEXT_SIZE];

    GwFingerprint_Format(&f, text);
    cr_expect_str_eq(text, "0000000000000123fedcba9876543210");
    cr_expect(GwFingerprint_Parse(text, &back));
    cr_expect(GwFingerprint_Equal(&f, &back));
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        cr_expect_not(GwFingerprint_Parse(bad[i], &back), "%s", bad[i]);
    }
}
