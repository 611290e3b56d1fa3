#include "Process.hpp"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <thread>
#include <unistd.h>

namespace redwing::bench {

namespace bp = boost::process;

struct Process::State
{
  bp::child child_;
};

namespace {

constexpr std::chrono::milliseconds kPoll{ 2 };

} // namespace

Process::Process(const std::string& aProgram,
                 std::vector<std::string> aArguments,
                 const std::string& aLog)
  : state_(std::make_unique<State>())
{
  state_->child_ = bp::child(
    aProgram,
    bp::args(std::move(aArguments)),
    bp::std_in<bp::null, (bp::std_out & bp::std_err)> aLog,
    bp::extend::on_exec_setup = [](auto&) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      // A child that inherits sockets of servers of the harness keeps them open after their end.
      ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    });
}

Process::~Process()
{
  Stop();
}

void
Process::Signal(int aSignal) const
{
  if (state_->child_.valid()) {
    ::kill(state_->child_.id(), aSignal);
  }
}

bool
Process::Running() const
{
  std::error_code ignored;
  return state_->child_.valid() && state_->child_.running(ignored);
}

int
Process::Wait(int aLimitMs)
{
  auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(aLimitMs);
  while (Running()) {
    if (std::chrono::steady_clock::now() > until) {
      return -1;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return state_->child_.exit_code();
}

void
Process::Stop(int aLimitMs)
{
  if (!Running()) {
    return;
  }
  Signal(SIGTERM);
  // A stopped process handles the signal only after it continues.
  Signal(SIGCONT);
  if (Wait(aLimitMs) == -1 && Running()) {
    Signal(SIGKILL);
    Wait(aLimitMs);
  }
}

double
Process::CpuSeconds(const std::string& aThread) const
{
  double ticks = 0;
  std::error_code error;
  std::filesystem::path tasks = "/proc/" + std::to_string(state_->child_.id()) + "/task";
  for (const auto& task : std::filesystem::directory_iterator(tasks, error)) {
    std::string name;
    std::ifstream comm(task.path() / "comm");
    std::getline(comm, name);
    if (!aThread.empty() && name != aThread) {
      continue;
    }
    std::ifstream input(task.path() / "stat");
    std::string line;
    std::getline(input, line);
    std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 1)));
    std::string skipped;
    // After the name, user and system time are the 12th and 13th field.
    for (int i = 0; i < 11; ++i) {
      fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    ticks += user + system;
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double
Process::RssMb() const
{
  std::ifstream input("/proc/" + std::to_string(state_->child_.id()) + "/statm");
  double size = 0;
  double resident = 0;
  input >> size >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

int
Process::Id() const
{
  return state_->child_.id();
}

} // namespace redwing::bench
