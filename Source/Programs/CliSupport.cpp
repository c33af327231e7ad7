#include "Programs/CliSupport.h"

#include <csignal>
#include <iostream>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::size_t MaxReplyBytes = std::size_t{1} << 30U;
constexpr Duration CallLimit = std::chrono::seconds(30);
/// The controller's admin port follows those of the three other daemons.
constexpr int ControllerOffset = 3;

} // namespace

CliContext::CliContext()
    : Loop(this->Time), Ids(IdSource::randomSeed()), Channels(this->Loop),
      Client(this->Loop, this->Channels, MaxReplyBytes) {
  std::signal(SIGPIPE, SIG_IGN);
}

bool CliContext::wait(const std::function<bool()> &Holds, Duration Limit) {
  const Instant End = this->Time.now() + Limit;
  while (!Holds() && this->Time.now() < End)
    this->Loop.runOnce(std::chrono::milliseconds(20));
  return Holds();
}

Result<HttpReply> CliContext::call(const std::string &Address,
                                   HttpRequest Request) {
  return this->await<HttpReply>(
      [&](const std::function<void(Result<HttpReply>)> &Done) {
        HttpCallHandlers Handlers;
        Handlers.Done = [Done](HttpReply Reply) { Done(std::move(Reply)); };
        Handlers.Failed = [Done](const Error &Reason, HttpProgress) {
          Done(tl::make_unexpected(Reason));
        };
        this->Client.call(Address, std::move(Request), CallLimit,
                          std::move(Handlers));
      });
}

std::optional<CliFolder> loadFolder(const std::string &Folder) {
  Result<std::vector<SettingsFile>> Files = readSettingsFolder(Folder);
  if (!Files) {
    std::cerr << Files.error().Message << '\n';
    return std::nullopt;
  }
  SettingsCheck Check = checkSettings(*Files);
  for (const SettingsProblem &Problem : Check.Problems)
    std::cerr << Problem.toText() << '\n';
  if (!Check.Problems.empty())
    return std::nullopt;
  return CliFolder{std::move(*Files), std::move(Check.Settings)};
}

ExitStatus refuse(const Error &Reason) {
  std::cerr << Reason.Message << '\n';
  return ExitStatus::Refused;
}

tl::expected<options::variables_map, ExitStatus>
parseCommand(const std::string &Command, const std::string &Positional,
             const options::options_description &Described,
             const std::vector<std::string> &Words) {
  options::options_description All(Described);
  All.add_options()("help,h", "print this text");
  options::positional_options_description Bare;
  if (!Positional.empty())
    Bare.add(Positional.c_str(), 1);
  options::variables_map Values;
  try {
    options::store(
        options::command_line_parser(Words).options(All).positional(Bare).run(),
        Values);
    if (Values.count("help") > 0) {
      std::cout << "Usage: turmericpass " << Command
                << (Positional.empty() ? "" : " " + Positional)
                << " [options]\n\n"
                << All;
      return tl::make_unexpected(ExitStatus::Done);
    }
    options::notify(Values);
  } catch (const options::required_option &Missing) {
    // A bare word is an option inside, and is named without its dashes.
    std::string Name = Missing.get_option_name();
    if (Name == "--" + Positional)
      Name = Positional;
    std::cerr << "turmericpass " << Command << ": " << Name
              << " is missing; see turmericpass " << Command << " --help\n";
    return tl::make_unexpected(ExitStatus::Usage);
  } catch (const options::error &Wrong) {
    std::cerr << "turmericpass " << Command << ": " << Wrong.what()
              << "; see turmericpass " << Command << " --help\n";
    return tl::make_unexpected(ExitStatus::Usage);
  }
  return Values;
}

std::string controllerAdmin(const NodeSettings &Node) {
  return Node.Address + ":" + std::to_string(Node.AdminPort + ControllerOffset);
}

} // namespace turmericpass
