#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// Returns aData as standard base64 text with padding.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string EncodeBase64(std::string_view aData);

/// Returns the bytes that aText stands for, or nothing if it is not base64 text.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<std::string> DecodeBase64(std::string_view aText);

} // namespace redwing
