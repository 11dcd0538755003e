"""Tests of the reads of a job and its progress, which are not a snapshot."""

from mimosapoint.cell.keys import job_key, progress_key
from mimosapoint.cell.stored_job import read_stored_job
from mimosapoint.ports import Entry, KeyRead
from mimosapoint.testing import TrioTestCase

RECORD = Entry(job_key("a"), b"", 3)


class ScriptedStore:
    """Store that returns the listed reads of each key, in this order."""

    def __init__(self, **reads_by_name):
        self.reads_by_key = {
            job_key("a"): reads_by_name["record"],
            progress_key("a"): reads_by_name["progress"],
        }

    async def read(self, key):
        return self.reads_by_key[key].pop(0)


class StoredJobTest(TrioTestCase):
    # Guards against a removed job that is shown as queued, and against a third read for each job
    # that waits, which counts when many are asked for at once.
    async def test_the_record_is_read_again_unless_it_is_surely_the_later_read(self):
        removed = KeyRead(None, 9)
        cases = (
            (KeyRead(RECORD, 5), KeyRead(None, 5), RECORD),
            (KeyRead(RECORD, 6), KeyRead(None, 5), RECORD),
            (KeyRead(RECORD, 4), KeyRead(None, 5), None),
            (KeyRead(RECORD), KeyRead(None, 5), None),
            (KeyRead(RECORD, 5), KeyRead(None), None),
            (KeyRead(None, 5), KeyRead(None, 5), None),
        )
        for record, progress, expected in cases:
            with self.subTest(record=record, progress=progress):
                store = ScriptedStore(record=[record, removed], progress=[progress])
                found = await read_stored_job(store, "a")
                self.assertEqual((expected, None), (found[0].entry, found[1]))
