#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace redwing {

constexpr std::size_t kSha256Bytes = 32;
using Sha256Digest = std::array<unsigned char, kSha256Bytes>;

/// Returns the 64-bit XXH3 hash of aData.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::uint64_t HashBytes(std::string_view aData);

/// Returns the SHA-256 digest of aData.
///
/// Preconditions: none. Thread safety: callable from any thread.
Sha256Digest Sha256(std::string_view aData);

/// Returns the HMAC-SHA-256 of aData under aKey.
///
/// Preconditions: none. Thread safety: callable from any thread.
Sha256Digest HmacSha256(std::string_view aKey, std::string_view aData);

/// Returns aDigest as lower-case hexadecimal.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string ToHex(const Sha256Digest& aDigest);

/// Compares two strings in time that does not depend on where they differ.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool EqualConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace redwing
