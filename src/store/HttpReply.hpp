#pragma once

#include "store/HttpClient.hpp"
#include "store/Store.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace redwing {

/// A decoded body, or a description of what is malformed.
template<typename T>
using Decoded = tl::expected<T, std::string>;

/// Returns the error that a status stands for, nothing if the body holds the result.
using StatusRule = std::optional<StoreErrorKind> (*)(unsigned aStatus, bool aWrites);

/// Returns the result that a reply stands for. A malformed reply to a call that writes leaves its
/// outcome unknown.
///
/// Preconditions: aRule and aDecode are not null. Thread safety: callable from any thread.
template<typename T>
StoreResult<T>
DecodeReply(StoreResult<HttpStoreReply>&& aReply,
            bool aWrites,
            StatusRule aRule,
            Decoded<T> (*aDecode)(std::string_view))
{
  if (!aReply) {
    return tl::unexpected(std::move(aReply.error()));
  }
  if (const auto kind = aRule(aReply->status_, aWrites)) {
    return tl::unexpected(StoreError{ *kind, "status " + std::to_string(aReply->status_) });
  }
  auto decoded = aDecode(aReply->body_);
  if (!decoded) {
    const auto kind = aWrites ? StoreErrorKind::OutcomeUnknown : StoreErrorKind::Unavailable;
    return tl::unexpected(StoreError{ kind, "malformed reply: " + decoded.error() });
  }
  return std::move(*decoded);
}

} // namespace redwing
