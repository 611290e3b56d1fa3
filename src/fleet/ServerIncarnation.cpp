#include "fleet/ServerIncarnation.hpp"

#include <charconv>

namespace redwing {

namespace {

constexpr char kSeparator = '@';

} // namespace

std::optional<ServerIncarnationParts>
SplitServerIncarnation(std::string_view aIncarnation)
{
  const std::size_t separator = aIncarnation.rfind(kSeparator);
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  ServerIncarnationParts parts{ aIncarnation.substr(0, separator), 0 };
  const std::string_view text = aIncarnation.substr(separator + 1);
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), parts.startedAt_);
  const bool read = error == std::errc() && end == text.data() + text.size();
  return read ? std::optional(parts) : std::nullopt;
}

std::string
MakeServerIncarnation(std::string_view aServerId, std::uint64_t aStartedAt)
{
  return std::string(aServerId) + kSeparator + std::to_string(aStartedAt);
}

bool
IsLaterIncarnation(std::string_view aOne, std::string_view aOther)
{
  const auto one = SplitServerIncarnation(aOne);
  const auto other = SplitServerIncarnation(aOther);
  return one && other && one->startedAt_ > other->startedAt_;
}

bool
IsRestartOf(std::string_view aOne, std::string_view aOther)
{
  const auto one = SplitServerIncarnation(aOne);
  const auto other = SplitServerIncarnation(aOther);
  return one && other && one->serverId_ == other->serverId_ && one->startedAt_ > other->startedAt_;
}

} // namespace redwing
