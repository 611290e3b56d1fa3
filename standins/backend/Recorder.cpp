#include "backend/Recorder.hpp"

#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unistd.h>

namespace redwing::standins {

Recorder::Recorder(std::string aPath)
  : path_(std::move(aPath))
{
  if (path_.empty()) {
    return;
  }
  file_ = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file_ < 0) {
    throw std::runtime_error("cannot open " + path_);
  }
}

Recorder::~Recorder()
{
  if (file_ >= 0) {
    ::close(file_);
  }
}

void
Recorder::Write(const nlohmann::json& aLine)
{
  if (file_ < 0) {
    return;
  }
  std::string text = aLine.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  if (::write(file_, text.data(), text.size()) != static_cast<ssize_t>(text.size())) {
    // Without a complete record no judgement is possible.
    throw std::runtime_error("cannot write " + path_);
  }
}

std::string
Recorder::All() const
{
  std::string result = "[";
  std::ifstream input(path_);
  for (std::string line; std::getline(input, line);) {
    result += (result.size() > 1 ? "," : "") + line;
  }
  return result + "]";
}

} // namespace redwing::standins
