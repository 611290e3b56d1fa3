#pragma once

#include "admission/IdempotencyTable.hpp"
#include "admission/QuarantineRegistry.hpp"
#include "core/Clock.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Wire format of the entries that instances exchange. Expiry is sent as the remaining time, since
/// the clocks of two instances are not comparable.
namespace redwing {

/// Preconditions: none. Thread safety: callable from any thread.
std::string EncodeEntries(std::span<const IdempotencyEntry> aEntries, TimePoint aNow);

/// Returns nullopt if aBytes are malformed.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<std::vector<IdempotencyEntry>> DecodeEntries(std::string_view aBytes, TimePoint aNow);

/// Preconditions: none. Thread safety: callable from any thread.
std::string EncodeQuarantine(const QuarantineEntry& aEntry, TimePoint aNow);

/// Returns nullopt if aBytes are malformed.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<QuarantineEntry> DecodeQuarantine(std::string_view aBytes, TimePoint aNow);

} // namespace redwing
