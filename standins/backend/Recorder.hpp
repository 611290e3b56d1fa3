#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace redwing::standins {

/// Writes what the server did, one JSON object per line. Each line is written with its own system
/// call, so that the record survives when the process is killed.
class Recorder
{
public:
  /// An empty path disables recording. Throws when the file can't be opened.
  explicit Recorder(std::string aPath);
  ~Recorder();
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  void Write(const nlohmann::json& aLine);
  /// Returns all lines written so far as a JSON array.
  std::string All() const;

private:
  std::string path_;
  int file_ = -1;
};

} // namespace redwing::standins
