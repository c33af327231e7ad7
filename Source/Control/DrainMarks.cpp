#include "Control/DrainMarks.h"

#include "Core/IdSource.h"

#include <utility>

namespace turmericpass {

namespace {

const std::string Prefix = "drain/";
constexpr std::size_t PageRows = 500;

} // namespace

void DrainMarks::mark(const std::string &Name, const std::string &Operator,
                      DoneCallback Action) {
  TableTransaction Write;
  Write.WriteId = this->Ids.longId();
  Write.Puts = {{Prefix + Name, Operator}};
  this->Rows.transact(std::move(Write), std::move(Action));
}

void DrainMarks::clear(const std::string &Name, DoneCallback Action) {
  TableTransaction Write;
  Write.WriteId = this->Ids.longId();
  Write.Deletes = {Prefix + Name};
  this->Rows.transact(std::move(Write), std::move(Action));
}

void DrainMarks::list(ListCallback Action) {
  this->scanAfter("", {}, std::move(Action));
}

void DrainMarks::scanAfter(const std::string &After,
                           std::set<std::string> Found, ListCallback Action) {
  this->Rows.scan(Prefix, After, PageRows,
                  [this, Found = std::move(Found), Action = std::move(Action)](
                      const Result<std::vector<TableRow>> &Page) mutable {
                    if (!Page) {
                      Action(tl::make_unexpected(Page.error()));
                      return;
                    }
                    for (const TableRow &Row : *Page)
                      Found.insert(Row.Key.substr(Prefix.size()));
                    if (Page->size() < PageRows)
                      Action(std::move(Found));
                    else
                      this->scanAfter(Page->back().Key, std::move(Found),
                                      std::move(Action));
                  });
}

} // namespace turmericpass
