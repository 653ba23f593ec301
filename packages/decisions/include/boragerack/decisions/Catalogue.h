#pragma once

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/decisions/Organisation.h"
#include "boragerack/decisions/Plan.h"
#include "boragerack/decisions/Service.h"

namespace boragerack::decisions {

/// The lists of all accepted parts together.
struct CatalogueContents
{
    std::vector<Organisation> organisations;
    std::vector<Plan> plans;
    std::vector<Service> services;

    friend auto operator<=>(const CatalogueContents &, const CatalogueContents &) = default;
};

/// Immutable lookup over the accepted lists. Pointers stay valid as long as the catalogue.
class Catalogue
{
public:
    /// An empty catalogue, which permits nothing.
    Catalogue() = default;

    /// Takes contents that passed the cross checks of the config package.
    static Catalogue make(CatalogueContents contents);

    /// The organisation for which a key acts; null for an unknown key.
    const Organisation *findByKey(const core::Digest &sha256) const;
    const Organisation *findOrganisation(const core::OrganisationId &organisation) const;

    /// The entitlements of an organisation.
    const Plan *findPlan(const core::OrganisationId &organisation) const;

    /// The permission for a model. An empty version selects the first listed one.
    const ModelPermission *findModel(const core::OrganisationId &organisation,
                                     const core::ModelId &model,
                                     std::string_view version = {}) const;
    const AdapterPermission *findAdapter(const core::OrganisationId &organisation,
                                         const core::ModelId &model, std::string_view version,
                                         const core::AdapterId &adapter) const;
    bool mayUseService(const core::OrganisationId &organisation,
                       const core::ServiceId &service) const;

    /// Properties of a route: an exact path wins over "/*", and a longer one over a shorter one.
    /// A route that is not listed is repeatable for GET and HEAD, and not open.
    ServiceRoute findRoute(const core::ServiceId &service, std::string_view method,
                           std::string_view path) const;

    const CatalogueContents &contents() const { return contents_; }

    friend bool operator==(const Catalogue &left, const Catalogue &right)
    {
        return left.contents_ == right.contents_;
    }

private:
    CatalogueContents contents_;
    std::unordered_map<core::Digest, std::size_t> byKey_;
    std::unordered_map<core::OrganisationId, std::size_t> byOrganisation_;
    std::unordered_map<std::string, std::size_t> byPlan_;
    std::unordered_map<core::ServiceId, std::size_t> byService_;
};

/// Digests of keys that acted for an organisation before and do not act for the same one after.
std::vector<core::Digest> findRevokedKeys(const Catalogue &before, const Catalogue &after);

} // namespace boragerack::decisions
