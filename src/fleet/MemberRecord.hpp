#pragma once

#include "routing/RoutingView.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace redwing {

/// What an instance publishes of itself and of the backend server beside it in the store.
struct MemberRecord
{
  Member member_;
  /// Run of the backend server that may hold shards; empty once it holds none for certain.
  std::string life_;

  /// Parses the stored form; returns what is wrong with it.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static tl::expected<MemberRecord, std::string> Parse(std::string_view aText);

  /// Returns the stored form.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::string ToText() const;

  /// Returns whether the server takes new shards and requests.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool Accepts() const;
};

} // namespace redwing
