#pragma once

#include "config/Configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

/// Store key of the configuration.
constexpr const char* kConfigurationKey = "/redwing/config";

/// Operations that a record remembers. At 4,800 changes a day they span about ten minutes, longer
/// than an operator command waits for a lost reply.
constexpr std::size_t kRememberedOperations = 32;

/// An operation and the revision that it replaced.
struct ConfigurationOperation
{
  std::string id_;
  std::uint64_t base_ = 0;

  bool operator==(const ConfigurationOperation&) const = default;
};

/// The stored value: the configuration and the latest operations, newest first. The first operation
/// wrote this value. The earlier ones let an operator whose reply was lost find out that the write
/// took effect even when another write followed it.
struct ConfigurationRecord
{
  std::vector<ConfigurationOperation> operations_;
  Configuration configuration_;

  /// Returns the record that aOperation writes over this one, which has revision aRevision.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  ConfigurationRecord Next(std::string aOperation,
                           std::uint64_t aRevision,
                           Configuration aConfiguration) const;

  /// Returns the revision that aOperation produced, if the record remembers it. aRevision is the
  /// revision of this record.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<std::uint64_t> RevisionOf(std::string_view aOperation,
                                          std::uint64_t aRevision) const;

  /// Returns whether the record remembers an operation that replaced revision aBase.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Remembers(std::uint64_t aBase) const;

  /// Returns the stored form.
  ///
  /// Preconditions: the configuration is valid. Thread safety: not thread-safe.
  std::string ToText() const;

  /// Parses the stored form; the error says what is malformed.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static tl::expected<ConfigurationRecord, std::string> Parse(std::string_view aText);
};

} // namespace redwing
