#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// The parts of the name of an incarnation.
struct ServerIncarnationParts
{
  std::string_view serverId_;
  std::uint64_t startedAt_ = 0;
};

/// Names an incarnation of a backend server by the server's id and the time of its start.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string MakeServerIncarnation(std::string_view aServerId, std::uint64_t aStartedAt);

/// Returns the parts of a name of MakeServerIncarnation; nothing if aIncarnation is not one. The
/// result refers to aIncarnation.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<ServerIncarnationParts> SplitServerIncarnation(std::string_view aIncarnation);

/// Returns whether aOne started after aOther, both incarnations of the server beside one instance.
/// False if either is not a name of MakeServerIncarnation.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool IsLaterIncarnation(std::string_view aOne, std::string_view aOther);

/// Returns whether aOne is a later start of the server of aOther, which then has ended: a server
/// that starts again under its id holds nothing of before. False if either is not a name of
/// MakeServerIncarnation.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool IsRestartOf(std::string_view aOne, std::string_view aOther);

} // namespace redwing
