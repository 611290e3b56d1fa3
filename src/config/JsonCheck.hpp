#pragma once

#include "core/Finding.hpp"

#include <cstddef>
#include <string_view>

namespace redwing::Detail {

/// Limits that keep a document within one store value and its nesting within what the format needs.
constexpr std::size_t kMaximumDocumentBytes = 1'000'000;
constexpr std::size_t kMaximumDocumentDepth = 8;

/// Reports what a JSON tree no longer shows: syntax errors, duplicate member names, nesting that is
/// too deep, and text that is too large. An empty result means that the text can be parsed.
///
/// Preconditions: none. Thread safety: callable from any thread.
Findings CheckJsonText(std::string_view aText);

/// Returns aParent with aName appended as a JSON pointer token.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string AppendPointer(const std::string& aParent, std::string_view aName);

} // namespace redwing::Detail
