#pragma once

#include <cstddef>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/decisions/Organisation.h"
#include "boragerack/decisions/Plan.h"
#include "boragerack/decisions/Service.h"

namespace boragerack::decisions {

/// The combined lists of all accepted configuration parts.
struct CatalogueContents
{
    std::vector<Organisation> organisations;
    std::vector<Plan> plans;
    std::vector<Service> services;
    /// Data centres whose targets get no new work, according to any part.
    std::set<core::DataCentreId> evacuated = {};

    friend auto operator<=>(const CatalogueContents &, const CatalogueContents &) = default;
};

/// Immutable index over the accepted lists. Returned pointers are valid for the lifetime of the
/// catalogue.
class Catalogue
{
public:
    /// Creates an empty catalogue, which permits nothing.
    Catalogue() = default;

    /// Builds the index. The contents must have passed the cross checks of the config package.
    static Catalogue make(CatalogueContents contents);

    /// Organisation that the key belongs to; null if the key is unknown.
    const Organisation *findByKey(const core::Digest &sha256) const;
    const Organisation *findOrganisation(const core::OrganisationId &organisation) const;

    /// Plan of the organisation; null if the organisation or its plan is unknown.
    const Plan *findPlan(const core::OrganisationId &organisation) const;

    /// Permission for a model; null if the plan does not list it. An empty version selects the
    /// first listed one.
    const ModelPermission *findModel(const core::OrganisationId &organisation,
                                     const core::ModelId &model,
                                     std::string_view version = {}) const;
    const AdapterPermission *findAdapter(const core::OrganisationId &organisation,
                                         const core::ModelId &model, std::string_view version,
                                         const core::AdapterId &adapter) const;
    bool mayUseService(const core::OrganisationId &organisation,
                       const core::ServiceId &service) const;

    /// Properties of a route: an exact path wins over "/*", and a longer one over a shorter one.
    /// An unlisted route is repeatable for GET and HEAD only, and not open.
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

/// Digests of keys that belong to an organisation in `before` and not to the same one in `after`.
std::vector<core::Digest> findRevokedKeys(const Catalogue &before, const Catalogue &after);

} // namespace boragerack::decisions
