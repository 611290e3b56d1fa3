#pragma once

#include "core/Clock.hpp"

#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

/// cereal archives for messages between instances. They write into and read from memory without
/// streams, check every length against the bytes that are left before allocating, and carry time
/// points as remaining time, because the clocks of two machines are unrelated. All instances are
/// little-endian.
namespace redwing {

/// The input does not describe a valid message.
class WireError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

class WireOutput : public cereal::OutputArchive<WireOutput, cereal::AllowEmptyClassElision>
{
public:
  /// Appends to aTarget; time points are written relative to aNow.
  WireOutput(std::string& aTarget, TimePoint aNow)
    : OutputArchive(this)
    , target_(aTarget)
    , now_(aNow)
  {
  }

  /// Preconditions: aData points to aSize bytes. Thread safety: not thread-safe.
  void Write(const void* aData, std::size_t aSize)
  {
    target_.append(static_cast<const char*>(aData), aSize);
  }

  /// Preconditions: none. Thread safety: not thread-safe.
  TimePoint Now() const { return now_; }

private:
  std::string& target_;
  TimePoint now_;
};

class WireInput : public cereal::InputArchive<WireInput, cereal::AllowEmptyClassElision>
{
public:
  WireInput(std::string_view aSource, TimePoint aNow)
    : InputArchive(this)
    , source_(aSource)
    , now_(aNow)
  {
  }

  /// Returns the next aSize bytes; throws WireError if there are fewer.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::string_view Take(std::size_t aSize)
  {
    if (aSize > source_.size()) {
      throw WireError("message is truncated");
    }
    const auto taken = source_.substr(0, aSize);
    source_.remove_prefix(aSize);
    return taken;
  }

  /// Preconditions: none. Thread safety: not thread-safe.
  std::size_t Left() const { return source_.size(); }

  /// Preconditions: none. Thread safety: not thread-safe.
  TimePoint Now() const { return now_; }

private:
  std::string_view source_;
  TimePoint now_;
};

template<typename T>
requires std::is_arithmetic_v<T>
void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const T& aValue)
{
  aArchive.Write(&aValue, sizeof(T));
}

template<typename T>
requires std::is_arithmetic_v<T>
void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, T& aValue)
{
  const auto bytes = aArchive.Take(sizeof(T));
  if constexpr (std::is_same_v<T, bool>) {
    // Any other bit pattern in a bool is undefined behaviour.
    aValue = bytes[0] != 0;
  } else {
    std::memcpy(&aValue, bytes.data(), sizeof(T));
  }
}

template<typename T>
void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<typename T>
void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<typename T>
void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const cereal::SizeTag<T>& aTag)
{
  aArchive(static_cast<std::uint32_t>(aTag.size));
}

template<typename T>
void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, cereal::SizeTag<T>& aTag)
{
  std::uint32_t size = 0;
  aArchive(size);
  // No element is shorter than a length field. Containers allocate by this number.
  constexpr std::size_t kLeastElementBytes = 4;
  if (size > aArchive.Left() / kLeastElementBytes) {
    throw WireError("element count exceeds the message");
  }
  aTag.size = size;
}

inline void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const std::string& aValue)
{
  const auto size = static_cast<std::uint32_t>(aValue.size());
  aArchive.Write(&size, sizeof(size));
  aArchive.Write(aValue.data(), aValue.size());
}

inline void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, std::string& aValue)
{
  std::uint32_t size = 0;
  std::memcpy(&size, aArchive.Take(sizeof(size)).data(), sizeof(size));
  aValue = aArchive.Take(size);
}

/// Returns aValues as a message.
///
/// Preconditions: none. Thread safety: callable from any thread.
template<typename... Values>
std::string
WriteWire(const Values&... aValues)
{
  std::string bytes;
  WireOutput archive(bytes, {});
  archive(aValues...);
  return bytes;
}

/// Reads aValues from untrusted bytes; returns false when these are malformed.
///
/// Preconditions: none. Thread safety: callable from any thread.
template<typename... Values>
bool
ReadWire(std::string_view aBytes, Values&... aValues)
{
  try {
    WireInput archive(aBytes, {});
    archive(aValues...);
    return true;
  } catch (const WireError&) {
    return false;
  } catch (const cereal::Exception&) {
    // Thrown for an unknown alternative of a variant.
    return false;
  }
}

} // namespace redwing

CEREAL_REGISTER_ARCHIVE(redwing::WireOutput)
CEREAL_REGISTER_ARCHIVE(redwing::WireInput)
CEREAL_SETUP_ARCHIVE_TRAITS(redwing::WireInput, redwing::WireOutput)
