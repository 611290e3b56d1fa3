#pragma once

#include "rollout/RolloutTypes.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

/// The stored form of rollout records.
namespace redwing {

/// Parses the stored form; returns an error message if it is invalid.
///
/// Preconditions: none. Thread safety: callable from any thread.
tl::expected<RolloutRecord, std::string> ParseRolloutRecord(std::string_view aText);

/// Returns the stored form.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string ToText(const RolloutRecord& aRecord);

} // namespace redwing
