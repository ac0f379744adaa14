/* Organisations of the simulated site; see organisations.c. */
#ifndef STANDINS_SITE_ORGANISATIONS_H
#define STANDINS_SITE_ORGANISATIONS_H

#include "standins/site/site.h"

SiteOrganisations *SiteOrganisations_Create(double beta_per_s);
/* Records a request of the caller with that number. Returns its key. */
const char *SiteOrganisations_Send(SiteOrganisations *o, uint32_t caller,
                                   const char *id);
void SiteOrganisations_Ended(SiteOrganisations *o, const char *id,
                             uint16_t status);
/* A server begins to run the request, received as `msg`. */
void SiteOrganisations_Ran(SiteOrganisations *o, const GwAdapter *adapter,
                           const GwHttpMessage *msg, const char *id);
/* The store has acknowledged the configuration without the revoked key. */
void SiteOrganisations_Revoked(SiteOrganisations *o);
/* The store was restored to a state in which the key may be valid. */
void SiteOrganisations_RevocationLost(SiteOrganisations *o);
/* Prints what each organisation got, and each violated rule. Returns true if
 * there is none. */
bool SiteOrganisations_Print(SiteOrganisations *o);

#endif
