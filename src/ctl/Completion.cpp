#include "ctl/Completion.hpp"

#include <CLI/CLI.hpp>

namespace redwing::ctl {

namespace {

std::string
Options(const CLI::App& aApp)
{
  std::string words;
  for (const CLI::Option* option : aApp.get_options()) {
    for (const std::string& name : option->get_lnames()) {
      words += " --" + name;
    }
  }
  return words;
}

/// Collects the path of each command and the words that may follow it.
struct Commands
{
  void Add(const CLI::App& aApp, const std::string& aPath)
  {
    std::string words = aPath.empty() ? "" : Options(aApp);
    for (const CLI::App* command : aApp.get_subcommands({})) {
      words += " " + command->get_name();
      Add(*command, aPath.empty() ? command->get_name() : aPath + " " + command->get_name());
    }
    paths_ += aPath + "|";
    cases_ += "    '" + aPath + "') words='" + words + "' ;;\n";
  }

  std::string paths_ = "|";
  std::string cases_;
};

} // namespace

std::string
CompletionScript(const CLI::App& aApp, const std::string& aShell)
{
  Commands commands;
  commands.Add(aApp, "");
  std::string script = aShell == "zsh" ? "autoload -U +X bashcompinit && bashcompinit\n" : "";
  // Words that extend no known command are values of options or arguments and are skipped.
  script += "_redwingctl() {\n"
            "  local path='' words='' word current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
            "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
            "    word=\"${path:+$path }$word\"\n"
            "    case '" +
            commands.paths_ +
            "' in *\"|$word|\"*) path=\"$word\" ;; esac\n"
            "  done\n"
            "  case \"$path\" in\n" +
            commands.cases_ +
            "  esac\n"
            "  words=\"$words" +
            Options(aApp) +
            "\"\n"
            "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\") $(compgen -f -- \"$current\"))\n"
            "}\n"
            "complete -F _redwingctl redwingctl\n";
  return script;
}

} // namespace redwing::ctl
