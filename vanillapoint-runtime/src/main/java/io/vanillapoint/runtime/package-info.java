/** What every daemon needs of its process: signals and metrics as text. */
package io.vanillapoint.runtime;
