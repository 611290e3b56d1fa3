#include "FuzzTarget.hpp"
#include "core/Random.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>
#include <vector>

extern "C" void __sanitizer_set_death_callback(void (*aCallback)()) __attribute__((weak));

/// Runs a fuzz target on all files of a directory and on seeded mutations of them:
/// `fuzz_NAME DIRECTORY MUTATIONS [SEED]`. The input that ended the process is printed as
/// hexadecimal digits.
namespace {

constexpr std::uint64_t kDefaultSeed = 1;
constexpr std::uint64_t kMaxChanges = 6;
constexpr std::uint64_t kMaxSpan = 64;
constexpr std::size_t kMaxInputBytes = 64 * 1024;

std::string currentInput;

/// Uses only calls that are allowed in signal handlers.
void
PrintInput()
{
  constexpr const char* kDigits = "0123456789abcdef";
  for (const char byte : currentInput) {
    const auto value = static_cast<unsigned char>(byte);
    const std::array<char, 2> text{ kDigits[value >> 4], kDigits[value & 15] };
    [[maybe_unused]] const auto written = write(STDERR_FILENO, text.data(), text.size());
  }
  [[maybe_unused]] const auto written = write(STDERR_FILENO, "\n", 1);
}

void
OnSignal(int aSignal)
{
  PrintInput();
  std::signal(aSignal, SIG_DFL);
  std::raise(aSignal);
}

void
Run(std::string aInput)
{
  currentInput = std::move(aInput);
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(currentInput.data()),
                         currentInput.size());
}

/// Changes aText at one place.
void
Mutate(std::string& aText, const std::vector<std::string>& aCorpus, redwing::Random& aRandom)
{
  const std::size_t at = aRandom.Below(aText.size() + 1);
  const std::size_t span = aRandom.Below(kMaxSpan);
  const std::string& other = aCorpus[aRandom.Below(aCorpus.size())];
  // Values at which lengths and signs change.
  constexpr std::array<unsigned char, 8> kEdges{ 0, 1, 0x7f, 0x80, 0xff, '\r', '\n', '"' };
  switch (aRandom.Below(7)) {
    case 0:
      if (at < aText.size()) {
        aText[at] = static_cast<char>(aRandom.Bits());
      }
      break;
    case 1:
      if (at < aText.size()) {
        aText[at] = static_cast<char>(aText[at] ^ (1U << aRandom.Below(8)));
      }
      break;
    case 2:
      aText.insert(at, 1 + aRandom.Below(8), static_cast<char>(kEdges[aRandom.Below(8)]));
      break;
    case 3:
      aText.erase(at, span);
      break;
    case 4:
      aText.insert(at, std::string(aText, at, span));
      break;
    case 5:
      aText.insert(at, std::string(other, aRandom.Below(other.size() + 1), span));
      break;
    default:
      std::fill_n(aText.begin() + static_cast<std::ptrdiff_t>(at),
                  std::min<std::size_t>(aText.size() - at, 1 + aRandom.Below(8)),
                  static_cast<char>(kEdges[aRandom.Below(8)]));
      break;
  }
  aText.resize(std::min(aText.size(), kMaxInputBytes));
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    std::fprintf(stderr, "usage: %s DIRECTORY MUTATIONS [SEED]\n", aArguments[0]);
    return 2;
  }
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(aArguments[1])) {
    files.push_back(entry.path());
  }
  // Directory order differs between file systems, and the mutations depend on it.
  std::sort(files.begin(), files.end());
  std::vector<std::string> corpus;
  for (const auto& file : files) {
    std::ifstream stream(file, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
  }
  if (corpus.empty()) {
    std::fprintf(stderr, "fuzz: %s holds no files\n", aArguments[1]);
    return 2;
  }
  std::signal(SIGABRT, OnSignal);
  if (__sanitizer_set_death_callback != nullptr) {
    __sanitizer_set_death_callback(PrintInput);
  } else {
    std::signal(SIGSEGV, OnSignal);
  }
  for (const std::string& input : corpus) {
    Run(input);
  }
  const std::uint64_t mutations = std::strtoull(aArguments[2], nullptr, 10);
  redwing::Random random(aCount > 3 ? std::strtoull(aArguments[3], nullptr, 10) : kDefaultSeed);
  for (std::uint64_t round = 0; round < mutations; ++round) {
    std::string input = corpus[random.Below(corpus.size())];
    for (std::uint64_t change = 1 + random.Below(kMaxChanges); change > 0; --change) {
      Mutate(input, corpus, random);
    }
    Run(std::move(input));
  }
  std::printf("fuzz: %zu files and %llu mutations\n",
              corpus.size(),
              static_cast<unsigned long long>(mutations));
  return 0;
}
