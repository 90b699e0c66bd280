#!/usr/bin/env node
import process from 'node:process';
import {runCtl} from './ctl.js';
import {createConsoleOutput} from './output.js';

process.exitCode = await runCtl(process.argv.slice(2), createConsoleOutput());
