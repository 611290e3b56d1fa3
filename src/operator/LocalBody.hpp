#pragma once

#include "core/Finding.hpp"
#include "exchange/BackendAnnouncement.hpp"
#include "operator/LocalHandlers.hpp"

#include <string_view>
#include <tl/expected.hpp>

/// JSON bodies of requests on the local address. All functions are callable from any thread and
/// have no preconditions. Unknown members are ignored, so that newer backend servers can announce
/// more.
namespace redwing::Detail {

tl::expected<BackendAnnouncement, Findings> ParseAnnouncement(std::string_view aBody);
tl::expected<IssueKeyRequest, Findings> ParseIssueKey(std::string_view aBody);
tl::expected<ForceShardRequest, Findings> ParseForceShard(std::string_view aBody);

} // namespace redwing::Detail
