/* Checks of a configuration that need more than one item: duplicates, and
 * rules between places, shifts and links. Each is called right after its
 * item was appended and looks at the items before it; that of the backend
 * servers looks at all of them, once. */
#ifndef GW_CONFIG_CHECKS_H
#define GW_CONFIG_CHECKS_H

#include "config/reader.h"

bool GwChecks_Operation(const GwService *service, const GwReadAt *at,
                        GError **error);
bool GwChecks_Backends(const GwConfig *c, GError **error);
bool GwChecks_Region(GwConfig *c, uint32_t i, const GwReadAt *at,
                     GError **error);
bool GwChecks_Service(GwConfig *c, uint32_t i, const GwReadAt *at,
                      GError **error);
bool GwChecks_Place(GwConfig *c, uint32_t i, const GwReadAt *at,
                    GError **error);
bool GwChecks_Shift(GwConfig *c, uint32_t i, const GwReadAt *at,
                    GError **error);
bool GwChecks_Link(GwConfig *c, uint32_t i, const GwReadAt *at,
                   GError **error);

#endif
