"""Operators' commands with real processes."""

import pathlib
import shutil
import subprocess
import time
import unittest

from clients import FleetTest, ROOT


class ApplyTest(FleetTest):
    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(self.work.name) / "settings"
        shutil.copytree(ROOT / "Examples/quickstart", self.folder)

    def command(self, *words, folder=None):
        return subprocess.run(
            [self.fleet.bin / "turmericpass", *[str(word) for word in words]],
            capture_output=True, text=True, timeout=60)

    def versions(self):
        """Returns the version that each daemon has in force."""
        return {
            (node, role): self.fleet.metrics(node, role).get("settings_version")
            for node in self.fleet.settings["nodes"]
            for role in ("gateway", "dispatcher", "batcher", "controller")
        }

    def write_limits(self, folder, seconds):
        (folder / "80-limits.toml").write_text(f"[limits]\ndrain_seconds = {seconds}\n")

    # Guards against a change that some daemon never takes.
    def test_applied_settings_reach_every_daemon(self):
        self.write_limits(self.folder, 21)
        done = self.command("apply", self.folder, "--from", 0, "--wait")
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.until(lambda: set(self.versions().values()) == {1.0},
                   "version 1 is in force everywhere")

    # Guards against one operator who overwrites the other unseen.
    def test_one_of_two_operators_loses_and_is_told(self):
        other = pathlib.Path(self.work.name) / "other"
        shutil.copytree(self.folder, other)
        self.write_limits(self.folder, 22)
        self.write_limits(other, 23)
        program = self.fleet.bin / "turmericpass"
        racing = [
            subprocess.Popen([program, "apply", folder, "--from", "0"],
                             stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
            for folder in (self.folder, other)
        ]
        texts = [process.communicate(timeout=60)[0] for process in racing]
        self.assertEqual(sorted(p.returncode for p in racing), [0, 1], texts)

    # Guards against a node that goes back when it restarts without platform.
    def test_restarted_node_takes_its_peers_version(self):
        self.write_limits(self.folder, 24)
        done = self.command("apply", self.folder, "--from", 0)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.until(lambda: set(self.versions().values()) == {1.0}, "version 1 in force")
        self.fleet.kill("platform")
        for role in ("controller", "dispatcher", "batcher", "gateway"):
            self.fleet.kill(f"b1-{role}")
        time.sleep(1)
        for role in ("controller", "dispatcher", "batcher", "gateway"):
            self.fleet.restart(f"b1-{role}")
            self.fleet.wait_daemon("b1", role)
        self.until(lambda: set(self.versions().values()) == {1.0},
                   "the restarted node has version 1 again")

    # Guards against a wrong folder that is put in force.
    def test_wrong_folder_is_refused(self):
        (self.folder / "99-wrong.toml").write_text("[services.orders]\nkind = 7\n")
        done = self.command("apply", self.folder, "--from", 0)
        self.assertEqual(done.returncode, 1)
        self.assertIn("99-wrong.toml:2", done.stdout + done.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)
