#include "mirror.h"

#include "text.h"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{

struct Mirror {
	kb_mirror_t mirror{};
	std::map<std::string, std::string> seen;

	Mirror()
	{
		mirror.changed = [](void *ctx, kb_str_t key,
				    const kb_mirror_entry_t *entry) {
			auto *self = static_cast<Mirror *>(ctx);
			std::string name(key.data, key.len);

			if (entry)
				self->seen[name] = std::string(
					entry->value.data, entry->value.len);
			else
				self->seen.erase(name);
		};
		mirror.ctx = this;
	}

	~Mirror()
	{
		kb_mirror_finish(&mirror);
	}

	static kb_store_entry_t entry(const char *key, const char *value,
				      int64_t revision)
	{
		kb_store_entry_t entry = {};

		entry.key = kb_str_from(key);
		entry.value = kb_str_from(value ? value : "");
		entry.revision = revision;
		entry.deleted = !value;
		return entry;
	}

	void apply_snapshot(std::vector<kb_store_entry_t> entries,
			    int64_t revision)
	{
		kb_store_range_t range = { revision, entries.size(),
					   entries.data() };

		EXPECT_EQ(KB_OK, kb_mirror_apply_snapshot(&mirror, &range, 1));
	}

	void apply_changes(std::vector<kb_store_entry_t> entries,
			   int64_t revision)
	{
		kb_store_range_t range = { revision, entries.size(),
					   entries.data() };

		EXPECT_EQ(KB_OK, kb_mirror_apply_changes(&mirror, &range, 2));
	}

	void sync_from(const Mirror &other)
	{
		kbs_sync_args args = {};
		kbs_sync_res res;

		args.revision = (uint64_t)mirror.revision;
		args.whole = mirror.revision ? FALSE : TRUE;
		ASSERT_EQ(KB_OK,
			  kb_mirror_fill_sync(&other.mirror, &args, &res, 10));
		EXPECT_EQ(KB_OK, kb_mirror_apply_sync(&mirror, &res, 10));
		kb_mirror_sync_finish(&res);
	}
};

int64_t at(int64_t era, int64_t number)
{
	return kb_store_revision(era, number);
}

using Seen = std::map<std::string, std::string>;

} // namespace

TEST(Mirror, NeverReturnsToAnOlderRevision)
{
	Mirror m;

	m.apply_snapshot({ Mirror::entry("a", "new", 8) }, 9);
	/* A stale read shows an older state. */
	m.apply_snapshot({ Mirror::entry("a", "old", 3) }, 5);
	m.apply_changes({ Mirror::entry("a", nullptr, 4) }, 6);
	EXPECT_EQ("new", m.seen["a"]);
	/* A paged read is no snapshot: it may show a later change already. */
	m.apply_snapshot({}, 7);
	EXPECT_EQ(9, m.mirror.revision);
	m.apply_changes({ Mirror::entry("a", nullptr, 10) }, 10);
	EXPECT_EQ(0u, m.seen.count("a"));
}

TEST(Mirror, ANewerCopyIsNotReplacedByAnOlderOne)
{
	Mirror late, early;
	kbs_sync_args args = {};
	kbs_sync_res res = {};

	late.apply_snapshot({ Mirror::entry("a", "new", 8) }, 9);
	early.apply_snapshot({ Mirror::entry("a", "old", 3),
			       Mirror::entry("b", "gone since", 4) },
			     5);
	args.whole = TRUE;
	ASSERT_EQ(KB_OK, kb_mirror_fill_sync(&early.mirror, &args, &res, 1));
	EXPECT_EQ(KB_OK, kb_mirror_apply_sync(&late.mirror, &res, 2));
	kb_mirror_sync_finish(&res);
	EXPECT_EQ(9, late.mirror.revision);
	EXPECT_EQ((std::map<std::string, std::string>{ { "a", "new" } }),
		  late.seen);
}

TEST(Mirror, ASnapshotRemovesMissingKeys)
{
	Mirror m;

	m.apply_snapshot(
		{ Mirror::entry("a", "1", 2), Mirror::entry("b", "1", 3) }, 3);
	m.apply_snapshot({ Mirror::entry("b", "2", 5) }, 6);
	EXPECT_EQ((std::map<std::string, std::string>{ { "b", "2" } }), m.seen);
}

TEST(Mirror, HostsSyncFromEachOther)
{
	Mirror a, b;

	a.apply_snapshot(
		{ Mirror::entry("a", "1", 2), Mirror::entry("b", "1", 3) }, 3);
	b.sync_from(a);
	EXPECT_EQ(a.seen, b.seen);
	a.apply_changes({ Mirror::entry("a", "2", 4) }, 4);
	b.sync_from(a);
	EXPECT_EQ(a.seen, b.seen);
	a.apply_changes({ Mirror::entry("b", nullptr, 5) }, 5);
	b.sync_from(a);
	EXPECT_EQ(a.seen, b.seen);
	/* An older copy changes nothing. */
	Mirror empty;
	b.sync_from(empty);
	EXPECT_EQ(a.seen, b.seen);
}

TEST(Mirror, ASyncWithoutRemovalsOmitsTheListOfKeys)
{
	Mirror a;
	kbs_sync_args args = {};
	kbs_sync_res res;

	a.apply_snapshot(
		{ Mirror::entry("a", "1", 2), Mirror::entry("b", "1", 3) }, 3);
	a.apply_changes({ Mirror::entry("a", "2", 4) }, 4);
	args.revision = 3;
	ASSERT_EQ(KB_OK, kb_mirror_fill_sync(&a.mirror, &args, &res, 10));
	EXPECT_EQ(1u, res.changed.changed_len);
	EXPECT_EQ(0u, res.removed.removed_len);
	EXPECT_FALSE(res.whole);
	kb_mirror_sync_finish(&res);
}

/* The numbers of after a restore are lower than those of before. */
TEST(Mirror, AReadAfterARestoreReplacesACopyWithHigherNumbers)
{
	Mirror m;

	m.apply_snapshot({ Mirror::entry("changed", "lost", at(1, 490)),
			   Mirror::entry("gone", "lost", at(1, 495)),
			   Mirror::entry("same", "kept", at(1, 7)) },
			 at(1, 500));
	m.apply_snapshot({ Mirror::entry("changed", "older", at(2, 12)),
			   Mirror::entry("same", "kept", at(2, 7)) },
			 at(2, 20));
	EXPECT_EQ((Seen{ { "changed", "older" }, { "same", "kept" } }), m.seen);
	EXPECT_EQ(at(2, 20), m.mirror.revision);
	EXPECT_EQ(at(2, 7),
		  kb_mirror_find(&m.mirror, KB_STR("same"))->revision);
	/* Numbers that were given out before apply again. */
	m.apply_changes({ Mirror::entry("changed", "new", at(2, 21)),
			  Mirror::entry("same", nullptr, at(2, 22)) },
			at(2, 22));
	EXPECT_EQ((Seen{ { "changed", "new" } }), m.seen);
}

TEST(Mirror, AnAnswerFromBeforeARestoreIsIgnoredAfterIt)
{
	Mirror m;
	Mirror late;
	kbs_sync_args args = {};
	kbs_sync_res res;

	m.apply_snapshot({ Mirror::entry("a", "restored", at(2, 12)) },
			 at(2, 20));
	m.apply_snapshot({ Mirror::entry("a", "lost", at(1, 490)) },
			 at(1, 500));
	m.apply_changes({ Mirror::entry("a", nullptr, at(1, 510)),
			  Mirror::entry("b", "lost", at(1, 511)) },
			at(1, 511));
	late.apply_snapshot({ Mirror::entry("a", "lost", at(1, 490)) },
			    at(1, 500));
	args.whole = TRUE;
	ASSERT_EQ(KB_OK, kb_mirror_fill_sync(&late.mirror, &args, &res, 1));
	EXPECT_EQ(KB_OK, kb_mirror_apply_sync(&m.mirror, &res, 2));
	kb_mirror_sync_finish(&res);
	EXPECT_EQ((Seen{ { "a", "restored" } }), m.seen);
	EXPECT_EQ(at(2, 20), m.mirror.revision);
}

TEST(Mirror, AHostFollowsAnotherThroughARestore)
{
	Mirror reader;
	Mirror fed;

	reader.apply_snapshot({ Mirror::entry("changed", "lost", at(1, 490)),
				Mirror::entry("gone", "lost", at(1, 495)),
				Mirror::entry("same", "kept", at(1, 7)) },
			      at(1, 500));
	fed.sync_from(reader);
	reader.apply_snapshot({ Mirror::entry("changed", "older", at(2, 12)),
				Mirror::entry("same", "kept", at(2, 7)) },
			      at(2, 20));
	fed.sync_from(reader);
	EXPECT_EQ((Seen{ { "changed", "older" }, { "same", "kept" } }),
		  fed.seen);
	EXPECT_EQ(at(2, 20), fed.mirror.revision);
	/* One that has not seen the restore changes nothing. */
	Mirror behind;
	behind.apply_snapshot({ Mirror::entry("gone", "lost", at(1, 600)) },
			      at(1, 600));
	fed.sync_from(behind);
	EXPECT_EQ(at(2, 20), fed.mirror.revision);
	EXPECT_EQ(0u, fed.seen.count("gone"));
	reader.apply_changes({ Mirror::entry("same", nullptr, at(2, 21)) },
			     at(2, 21));
	fed.sync_from(reader);
	EXPECT_EQ((Seen{ { "changed", "older" } }), fed.seen);
}

/* It asks a reader that was behind it when the store was restored. */
TEST(Mirror, AKeyThatOnlyTheAskingHostKnewIsGoneAfterARestore)
{
	Mirror reader;
	Mirror fed;
	Mirror next;

	reader.apply_snapshot({ Mirror::entry("a", "1", at(1, 7)) },
			      at(1, 500));
	fed.sync_from(reader);
	fed.apply_changes({ Mirror::entry("lost", "1", at(1, 501)) },
			  at(1, 501));
	next.sync_from(fed);
	ASSERT_EQ("1", next.seen["lost"]);
	reader.apply_snapshot({ Mirror::entry("a", "1", at(2, 7)) }, at(2, 20));
	fed.sync_from(reader);
	EXPECT_EQ((Seen{ { "a", "1" } }), fed.seen);
	next.sync_from(fed);
	EXPECT_EQ((Seen{ { "a", "1" } }), next.seen);
}

/* The same, one hop further, past a host that never had the key. */
TEST(Mirror, AKeyThatARelayNeverHadIsGoneAfterARestore)
{
	Mirror reader;
	Mirror relay;
	Mirror ahead;

	reader.apply_snapshot({ Mirror::entry("a", "1", at(1, 7)) },
			      at(1, 500));
	relay.sync_from(reader);
	ahead.sync_from(reader);
	ahead.apply_changes({ Mirror::entry("lost", "1", at(1, 501)) },
			    at(1, 501));
	reader.apply_snapshot({ Mirror::entry("a", "1", at(2, 7)) }, at(2, 20));
	relay.sync_from(reader);
	ahead.sync_from(relay);
	EXPECT_EQ((Seen{ { "a", "1" } }), ahead.seen);
}

/* Hosts that take turns at two readers have keys that one reader never had. */
TEST(Mirror, AKeyThatCameAndWentBetweenTwoReadsIsGone)
{
	Mirror reader;
	Mirror other;
	Mirror fed;

	reader.apply_snapshot({ Mirror::entry("a", "1", 2) }, 3);
	other.apply_snapshot({ Mirror::entry("a", "1", 2) }, 3);
	other.apply_changes({ Mirror::entry("brief", "1", 4) }, 4);
	fed.sync_from(other);
	ASSERT_EQ("1", fed.seen["brief"]);
	reader.apply_snapshot({ Mirror::entry("a", "1", 2) }, 6);
	fed.sync_from(reader);
	EXPECT_EQ((Seen{ { "a", "1" } }), fed.seen);
}

TEST(Mirror, AKeyThatCameAndWentBetweenTwoChangesIsGone)
{
	Mirror reader;
	Mirror other;
	Mirror relay;
	Mirror fed;

	reader.apply_snapshot({ Mirror::entry("a", "1", 2) }, 3);
	other.apply_snapshot({ Mirror::entry("a", "1", 2) }, 3);
	relay.sync_from(reader);
	other.apply_changes({ Mirror::entry("brief", "1", 4) }, 4);
	fed.sync_from(other);
	reader.apply_changes({ Mirror::entry("brief", nullptr, 5) }, 6);
	/* One hop further, past a relay that never had the key either. */
	relay.sync_from(reader);
	fed.sync_from(relay);
	EXPECT_EQ((Seen{ { "a", "1" } }), fed.seen);
}

/* A read that shows no newer revision hides no removal. */
TEST(Mirror, ARepeatedReadKeepsTheRemovals)
{
	Mirror reader;
	kbs_sync_args args = {};
	kbs_sync_res res;

	reader.apply_snapshot(
		{ Mirror::entry("a", "1", 2), Mirror::entry("b", "1", 3) }, 3);
	reader.apply_changes({ Mirror::entry("b", nullptr, 4) }, 4);
	reader.apply_snapshot({ Mirror::entry("a", "1", 2) }, 4);
	args.revision = 3;
	ASSERT_EQ(KB_OK, kb_mirror_fill_sync(&reader.mirror, &args, &res, 10));
	EXPECT_FALSE(res.whole);
	EXPECT_EQ(1u, res.removed.removed_len);
	kb_mirror_sync_finish(&res);
}
