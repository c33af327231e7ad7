#include "Jobs/ChunkScan.h"

#include "Platform/Table.h"

#include <memory>

namespace turmericpass {

namespace {

constexpr std::size_t PageRows = 1000;

struct Scan {
  Table &Rows;
  std::string Prefix;
  ChunksDone Done;
  std::vector<ChunkEntry> Found;
};

void readNextPage(const std::shared_ptr<Scan> &State, const std::string &After);

void onPage(const std::shared_ptr<Scan> &State,
            const Result<std::vector<TableRow>> &Page) {
  if (!Page)
    return State->Done(tl::make_unexpected(Page.error()));
  for (const TableRow &Row : *Page) {
    Result<ChunkRow> Value = decodeChunkRow(Row.Value);
    if (!Value)
      return State->Done(tl::make_unexpected(Value.error()));
    State->Found.push_back(
        {Row.Key.substr(State->Prefix.size()), Row.Version, std::move(*Value)});
  }
  if (Page->size() == PageRows)
    return readNextPage(State, Page->back().Key);
  State->Done(std::move(State->Found));
}

void readNextPage(const std::shared_ptr<Scan> &State,
                  const std::string &After) {
  State->Rows.scan(State->Prefix, After, PageRows,
                   [State](const Result<std::vector<TableRow>> &Page) {
                     onPage(State, Page);
                   });
}

} // namespace

void scanChunks(Table &Rows, const std::string &JobId, ChunksDone Done) {
  readNextPage(std::make_shared<Scan>(
                   Scan{Rows, chunkPrefix(JobId), std::move(Done), {}}),
               "");
}

} // namespace turmericpass
