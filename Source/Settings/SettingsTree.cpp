#include "Settings/SettingsTree.h"

#include <set>
#include <sstream>
#include <string_view>
#include <toml++/toml.h>

namespace turmericpass {

namespace {

/// Limits the length of values in problem reports, so that the rest of the
/// report stays readable.
constexpr std::size_t MaxShownBytes = 80;

const std::set<std::string, std::less<>> SingleTableSections = {"platform",
                                                                "limits"};
const std::set<std::string, std::less<>> NamedTableSections = {
    "nodes", "zones", "services", "servers", "classes", "customers"};

std::string render(const toml::node &Node) {
  std::ostringstream Out;
  Node.visit([&Out](const auto &Typed) { Out << Typed; });
  return Out.str();
}

std::string shorten(std::string Text) {
  for (char &Byte : Text)
    if (Byte == '\n')
      Byte = ' ';
  if (Text.size() > MaxShownBytes)
    Text = Text.substr(0, MaxShownBytes) + "...";
  return Text;
}

SettingLocation locationOf(const toml::node &Node, const std::string &File) {
  return {File, static_cast<std::uint32_t>(Node.source().begin.line)};
}

void readScalar(const toml::node &Node, SettingValue &Value) {
  if (const auto *Text = Node.as_string()) {
    Value.Kind = SettingKind::Text;
    Value.Text = Text->get();
  } else if (const auto *Integer = Node.as_integer()) {
    Value.Kind = SettingKind::Integer;
    Value.Integer = Integer->get();
    Value.Real = static_cast<double>(Integer->get());
  } else if (const auto *Real = Node.as_floating_point()) {
    Value.Kind = SettingKind::Real;
    Value.Real = Real->get();
  } else if (const auto *Flag = Node.as_boolean()) {
    Value.Kind = SettingKind::Flag;
    Value.Flag = Flag->get();
  }
}

SettingValue readValue(const toml::node &Node, const std::string &File) {
  SettingValue Value;
  Value.Location = locationOf(Node, File);
  Value.FullText = render(Node);
  Value.DisplayText = shorten(Value.FullText);
  const toml::array *Array = Node.as_array();
  if (!Array) {
    readScalar(Node, Value);
    return Value;
  }
  Value.Kind = SettingKind::List;
  for (const toml::node &Item : *Array) {
    SettingValue Inner;
    Inner.Location = locationOf(Item, File);
    Inner.FullText = render(Item);
    Inner.DisplayText = shorten(Inner.FullText);
    readScalar(Item, Inner);
    Value.Items.push_back(std::move(Inner));
  }
  return Value;
}

bool isValidName(std::string_view Name) {
  constexpr std::size_t MaxNameBytes = 63;
  constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyz"
                                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "0123456789-_";
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         Name.find_first_not_of(Allowed) == std::string_view::npos;
}

/// Merges settings files into a tree, one file at a time.
class TreeBuilder {
public:
  explicit TreeBuilder(SettingsTree &Tree) : Tree(Tree) {}

  void addFile(const std::string &File, const toml::table &Root);

private:
  void addProblem(const SettingLocation &Location, std::string Key,
                  std::string Found, std::string Allowed) {
    this->Tree.Problems.push_back({Location.File, Location.Line, std::move(Key),
                                   std::move(Found), std::move(Allowed)});
  }
  void addSection(const std::string &File, const std::string &Section,
                  const toml::table &Table);
  void addGroup(const std::string &File, const std::string &Section,
                const std::string &Name, const toml::table &Table);
  void addValue(SettingGroup &Group, const std::string &Path,
                const std::string &Key, SettingValue Value);

  SettingsTree &Tree;
};

void TreeBuilder::addValue(SettingGroup &Group, const std::string &Path,
                           const std::string &Key, SettingValue Value) {
  const auto Existing = Group.Values.find(Key);
  if (Existing == Group.Values.end()) {
    Group.Values.emplace(Key, std::move(Value));
    return;
  }
  const SettingValue &First = Existing->second;
  if (First.FullText == Value.FullText && First.Kind == Value.Kind)
    return;
  this->addProblem(Value.Location, Path + "." + Key, Value.DisplayText,
                   "one value, but " + First.Location.File + ":" +
                       std::to_string(First.Location.Line) + " has " +
                       First.DisplayText);
}

void TreeBuilder::addGroup(const std::string &File, const std::string &Section,
                           const std::string &Name, const toml::table &Table) {
  const std::string Path = Name.empty() ? Section : Section + "." + Name;
  auto &Groups = this->Tree.Sections[Section];
  auto [Group, Inserted] = Groups.try_emplace(Name);
  if (Inserted)
    Group->second.Location = locationOf(Table, File);
  for (const auto &[Key, Node] : Table)
    this->addValue(Group->second, Path, std::string(Key.str()),
                   readValue(Node, File));
}

void TreeBuilder::addSection(const std::string &File,
                             const std::string &Section,
                             const toml::table &Table) {
  for (const auto &[Key, Node] : Table) {
    const std::string Name(Key.str());
    const SettingLocation Location = locationOf(Node, File);
    const std::string Path = Section + "." + Name;
    if (!isValidName(Name))
      this->addProblem(Location, Path, "the name " + shorten(Name),
                       "names of 1 to 63 letters, digits, '-' and '_'");
    else if (!Node.is_table())
      this->addProblem(Location, Path, shorten(render(Node)),
                       "a table [" + Section + ".NAME]");
    else
      this->addGroup(File, Section, Name, *Node.as_table());
  }
}

void TreeBuilder::addFile(const std::string &File, const toml::table &Root) {
  for (const auto &[Key, Node] : Root) {
    const std::string Section(Key.str());
    const SettingLocation Location = locationOf(Node, File);
    const bool Plain = SingleTableSections.count(Section) > 0;
    if (!Plain && NamedTableSections.count(Section) == 0)
      this->addProblem(Location, shorten(Section), "an unknown section",
                       "platform, nodes, zones, services, servers, classes, "
                       "customers, limits");
    else if (!Node.is_table())
      this->addProblem(Location, Section, shorten(render(Node)),
                       Plain ? "a table [" + Section + "]"
                             : "tables [" + Section + ".NAME]");
    else if (Plain)
      this->addGroup(File, Section, "", *Node.as_table());
    else
      this->addSection(File, Section, *Node.as_table());
  }
}

} // namespace

SettingsTree mergeSettings(const std::vector<SettingsFile> &Files) {
  SettingsTree Tree;
  TreeBuilder Builder(Tree);
  for (const SettingsFile &File : Files) {
    try {
      Builder.addFile(File.Name, toml::parse(File.Text, File.Name));
    } catch (const toml::parse_error &ParseError) {
      Tree.HasParseErrors = true;
      Tree.Problems.push_back(
          {File.Name,
           static_cast<std::uint32_t>(ParseError.source().begin.line), "",
           "invalid TOML (" + shorten(std::string(ParseError.description())) +
               ")",
           "a TOML document"});
    }
  }
  return Tree;
}

} // namespace turmericpass
