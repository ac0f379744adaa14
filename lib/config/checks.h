/* Checks of a configuration that involve more than one item: duplicates,
 * and rules between places, shifts and links. Each check is called right
 * after its item was appended and compares it with the items before;
 * GwChecks_Backends is called once and checks all backend servers. */
#ifndef GW_CONFIG_CHECKS_H
#define GW_CONFIG_CHECKS_H

#include "config/reader.h"

bool GwChecks_Operation(const GwService *service, const GwReadContext *at,
                        GError **error);
bool GwChecks_Backends(const GwConfig *c, GError **error);
bool GwChecks_Region(GwConfig *c, uint32_t i, const GwReadContext *at,
                     GError **error);
bool GwChecks_Service(GwConfig *c, uint32_t i, const GwReadContext *at,
                      GError **error);
bool GwChecks_Place(GwConfig *c, uint32_t i, const GwReadContext *at,
                    GError **error);
bool GwChecks_Shift(GwConfig *c, uint32_t i, const GwReadContext *at,
                    GError **error);
bool GwChecks_Link(GwConfig *c, uint32_t i, const GwReadContext *at,
                   GError **error);

#endif
