#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// One HTTP request on the local address, independent of the HTTP library.
struct LocalRequest
{
  std::string method_;
  std::string target_;
  std::string body_;
  /// Value of the Authorization header.
  std::string authorization_;
  /// Value of the Redwing-Operator header: who the operator claims to be.
  std::string operator_;
  /// Address of the client.
  std::string remote_;
};

namespace Detail {

/// Path and query of a request target.
struct LocalTarget
{
  std::string path_;
  std::map<std::string, std::string, std::less<>> query_;

  /// Splits a target. Nothing of ours needs percent-encoding, so a target that has it is refused,
  /// as is one with a repeated query parameter.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static std::optional<LocalTarget> Parse(std::string_view aTarget);

  /// Returns a query parameter, empty when it is absent.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::string Parameter(std::string_view aName) const;
};

} // namespace Detail

} // namespace redwing
